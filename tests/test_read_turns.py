"""Turns of connections that write at full speed."""

import pytest

from brackenloft.net.read_turns import MOST_AT_ONCE, ReadTurns


class Loop:
    """Runs what was to be called soon, a turn at a time."""

    def __init__(self):
        self.soon = []

    def call_soon(self, call):
        self.soon.append(call)

    def turn(self):
        calls, self.soon = self.soon, []
        for call in calls:
            call()


class Writer:
    """A connection that always has more commands."""

    def __init__(self, turns):
        self.turns, self.taken = turns, 0

    def take_turn(self):
        self.taken += self.turns.batch()
        self.turns.wait(self)


# Guards against hundreds of connections at full speed that make one turn of the loop last for seconds.
@pytest.mark.parametrize("count", [1, 2, 10, 64, 65, 500])
def test_all_that_write_at_full_speed_take_no_more_in_a_turn_than_one_alone(count):
    loop = Loop()
    turns = ReadTurns(loop)
    writers = [Writer(turns) for _ in range(count)]
    for writer in writers:
        turns.wait(writer)
    rounds = 10 * max(1, count // MOST_AT_ONCE + 1)
    for _ in range(rounds):
        before = sum(writer.taken for writer in writers)
        loop.turn()
        taken = sum(writer.taken for writer in writers) - before
        assert 0 < taken <= 2 * MOST_AT_ONCE
        assert len(loop.soon) == 1
    least, most = min(writer.taken for writer in writers), max(writer.taken for writer in writers)
    assert least >= 1 and most - least <= MOST_AT_ONCE


def test_nobody_is_called_when_nobody_waits():
    loop = Loop()
    turns = ReadTurns(loop)
    taken = []

    class Once:
        def take_turn(self):
            taken.append(turns.batch())

    turns.wait(Once())
    loop.turn()
    loop.turn()
    assert taken == [MOST_AT_ONCE] and not loop.soon
