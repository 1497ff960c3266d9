"""When what was read ahead of a connection came."""

from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.net.arrivals import MOST_READS, Arrivals


# Guards against a deadline that leaves out the time that a command waited here behind others.
def test_each_command_came_with_the_read_that_its_last_byte_was_in():
    arrivals = Arrivals()
    arrivals.note(10, 1.0)
    arrivals.note(10, 2.0)
    assert [arrivals.take(size) for size in (4, 6, 1, 9)] == [1.0, 1.0, 2.0, 2.0]
    arrivals.note(5, 3.0)
    assert arrivals.take(5) == 3.0


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(1, 50), min_size=1, max_size=4 * MOST_READS))
def test_no_command_seems_to_have_come_later_than_it_did_and_few_reads_are_kept(sizes):
    arrivals, true = Arrivals(), []
    for number, size in enumerate(sizes):
        arrivals.note(size, float(number))
        true += [float(number)] * size
        assert len(arrivals.reads) <= MOST_READS
    assert all(arrivals.take(1) <= came for came in true)
