"""How late the loop runs, and what part of an attempt's time was the loop's doing and not the server's.

A host may block the loop that it shares with the gateway. An answer that came meanwhile is read late, and a
connection that came up is written to late. Neither says anything about the server.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from math import inf

BEAT_S = 0.02  # between two beats: a block of half that is not seen, and does no harm
READ_S = 0.005  # after a block, in which all that came meanwhile is read
STALLS = 64  # blocks kept: more than any connect lasts, at 50 ms each
NO_STALL = (-inf, -inf)


class Stalls:
    """Spans in which the loop was held up, in seconds of one clock. Pure."""

    def __init__(self) -> None:
        self.spans: deque[tuple[float, float]] = deque(maxlen=STALLS)

    def note(self, start: float, end: float) -> None:
        """The loop was held up from ``start`` to ``end``, after all spans before."""
        self.spans.append((start, end))

    def within(self, start: float, end: float) -> float:
        """Seconds of ``start`` to ``end`` in which the loop was held up."""
        total = 0.0
        for first, last in reversed(self.spans):
            if last <= start:
                break  # and all before it
            total += max(0.0, min(end, last) - max(start, first))
        return total

    def excuse(self, began: float, written: float, ended: float, last: tuple[float, float]) -> float:
        """Seconds of an attempt that are the loop's own.

        All blocks until its last byte was written, and of those after only ``last``, the one that has just
        ended: the answer lay in the kernel for some part of it at most. Blocks in between cost nothing, as
        the server worked on meanwhile. An attempt that was never written has ``written`` at infinity.
        """
        until = min(written, ended)
        first, end = last
        tail = max(0.0, min(ended, end) - max(until, first))
        return min(ended - began, self.within(began, until) + tail)


class Lag:
    """Watches the loop while there is something in hand.

    ``stalled`` is told of each block, in seconds; ``busy`` says whether to go on.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        least_ms: float,
        stalled: Callable[[float], None],
        busy: Callable[[], bool],
    ) -> None:
        self.loop, self.least, self.stalled, self.busy = loop, least_ms / 1000.0, stalled, busy
        self.stalls, self.last = Stalls(), NO_STALL
        # By time.monotonic(): of the next beat, or the end of a block that was noted before it came.
        self.due = inf
        self.set_for = inf  # of the next beat
        self.caught_up = True  # a beat has come in time since the last block
        self.beat: asyncio.TimerHandle | None = None

    def watch(self) -> None:
        """Beat from now on."""
        if self.beat is None:
            self._next()

    def stop(self) -> None:
        """Beat no more."""
        if self.beat:
            self.beat.cancel()
        self.beat, self.due, self.last, self.caught_up = None, inf, NO_STALL, True

    @property
    def watching(self) -> bool:
        """Whether it beats, so that a loop that is held up is noticed."""
        return self.beat is not None

    def held_up(self) -> bool:
        """Whether what is handled in this turn may have waited for the loop.

        The beat is late as well, or was the first after a block: what came meanwhile may be read behind it,
        as uvloop calls timers before it polls sockets. Between two beats the loop polls them at least once.
        """
        return not self.caught_up or time.monotonic() - self.due > self.least

    def excuse(self, began: float, written: float, ended: float) -> float:
        """Seconds of an attempt that ends now for which the loop is to blame."""
        if ended - self.due > self.least:  # the beat is late as well, and has not been called yet
            self._note(ended)
        if not self.stalls.spans or self.stalls.spans[-1][1] <= began:
            return 0.0  # the usual case, also where the loop was held up some time before
        last = self.last if ended - self.last[1] <= READ_S else NO_STALL
        return self.stalls.excuse(began, written, ended, last)

    def _next(self) -> None:
        self.due = self.set_for = time.monotonic() + BEAT_S
        self.beat = self.loop.call_later(BEAT_S, self._on_beat)

    def _note(self, now: float) -> None:
        self.stalls.note(self.due, now)
        self.last, self.caught_up = (self.due, now), False
        self.stalled(now - self.due)
        self.due = now  # the beat that is still to come counts from here

    def _on_beat(self) -> None:
        now = time.monotonic()
        if now - self.due > self.least:
            self._note(now)
        self.caught_up = now - self.set_for <= self.least
        if self.busy():
            self._next()
        else:
            self.stop()
