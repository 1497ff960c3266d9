"""Many timers on one alarm of the loop, nearly all of them taken back before they are due.

Timers stand in buckets of a whole millisecond, which is as fine as the loop's own: setting one and taking it
back are a step in a dictionary each, whatever their number. What is left of a bucket whose timers were all
taken back is an empty one until its time: as many at most as there are milliseconds in the longest wait.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from itertools import count
from math import ceil
from typing import Any

READ_FIRST_S = 0.001  # after a loop that was held up: timers of no delay may run before it reads its sockets

Handle = tuple[int, int]  # bucket and number
Entry = tuple[float, Callable[[Any], None], Any]


class Timers:
    """Times in milliseconds by ``clock``. ``late_ms``: a loop so late was held up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        late_ms: float,
    ) -> None:
        self.loop, self.clock, self.late_ms = loop, clock, late_ms
        self.buckets: dict[int, dict[int, Entry]] = {}
        self.keys: list[int] = []  # a heap of the buckets' times
        self.numbers = count()
        self.alarm: tuple[int, asyncio.TimerHandle] | None = None
        self.reading_first = False

    def __len__(self) -> int:
        return sum(map(len, self.buckets.values()))

    def at(self, due: float, call: Callable[[Any], None], argument: Any) -> Handle:
        """Call up ``call(argument)`` at this time, never before; what takes it back."""
        key, number = ceil(due), next(self.numbers)
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = {}
            heapq.heappush(self.keys, key)
            if self.alarm is None or key < self.alarm[0]:
                self._arm()
        bucket[number] = (due, call, argument)
        return key, number

    def cancel(self, handle: Handle) -> None:
        """Take it back; too late is harmless."""
        bucket = self.buckets.get(handle[0])
        if bucket:
            bucket.pop(handle[1], None)

    def close(self) -> None:
        """No timer fires any more."""
        self.buckets.clear()
        self.keys.clear()
        if self.alarm:
            self.alarm[1].cancel()
            self.alarm = None

    def _arm(self) -> None:
        """One timer of the loop stands for all of these: it is set for the first that falls due.

        Whole milliseconds. Guards against spinning: the loop rounds a shorter delay down to nothing, and
        would come back again and again until the timer is due.
        """
        if self.alarm:
            self.alarm[1].cancel()
        delay_ms = max(1, ceil(self.keys[0] - self.clock()))
        self.alarm = (self.keys[0], self.loop.call_later(delay_ms / 1000.0, self._fire))

    def _fire(self) -> None:
        """Call up what is due.

        Guards against a loop that was held up, by a slow handler of the host say: answers that have come
        meanwhile are read first, or attempts would be taken for silent, and timed out, that are not.
        """
        self.alarm = None
        now = self.clock()
        if self.keys and now - self._first() > self.late_ms and not self.reading_first:
            self.reading_first = True
            self.alarm = (self.keys[0], self.loop.call_later(READ_FIRST_S, self._fire))
            return
        self.reading_first = False
        while self.keys and self.keys[0] <= now:
            key = self.keys[0]
            bucket = self.buckets[key]
            for number in sorted(bucket, key=lambda number: (bucket[number][0], number)):
                entry = bucket.pop(number, None)  # one before may have taken it back, or closed all
                if entry:
                    entry[1](entry[2])
            if not bucket and self.keys and self.keys[0] == key:
                heapq.heappop(self.keys)
                self.buckets.pop(key, None)
        if self.keys:
            self._arm()

    def _first(self) -> float:
        """The first that is due, of which none was taken back; empty buckets are let go."""
        while self.keys and not self.buckets[self.keys[0]]:
            del self.buckets[heapq.heappop(self.keys)]
        return self.keys[0] if self.keys else float("inf")
