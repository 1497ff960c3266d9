"""The loop's own delays: what of an attempt's time they take, against a plain model."""

from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.net.lag import NO_STALL, STALLS, Stalls

WHOLE = st.integers(0, 200)


def overlap(spans, start, end):
    """Unit by unit."""
    return sum(any(first <= unit < last for first, last in spans) for unit in range(start, end))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(WHOLE, max_size=12), WHOLE, WHOLE, WHOLE)
def test_excuse_is_what_was_lost_before_the_writing_and_in_the_last_block(cuts, began, wait, rest):
    cuts = sorted(set(cuts))
    spans = list(zip(cuts[::2], cuts[1::2], strict=False))
    stalls = Stalls()
    for first, last in spans:
        stalls.note(float(first), float(last))
    written, ended = began + wait, began + wait + rest
    last = spans[-1] if spans else NO_STALL
    found = stalls.excuse(began, written, ended, last)
    assert found == overlap(spans, began, written) + overlap(spans[-1:], written, ended)
    assert 0.0 <= found <= ended - began
    assert stalls.excuse(began, written, ended, NO_STALL) == overlap(spans, began, written)


def test_attempt_never_written_is_excused_for_every_block_of_its_time():
    stalls = Stalls()
    stalls.note(10.0, 20.0)
    stalls.note(30.0, 40.0)
    assert stalls.excuse(5.0, float("inf"), 35.0, (30.0, 40.0)) == 15.0


def test_blocks_that_are_kept_are_bounded():
    stalls = Stalls()
    for number in range(3 * STALLS):
        stalls.note(number, number + 0.5)
    assert len(stalls.spans) == STALLS
