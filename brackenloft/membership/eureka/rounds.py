"""What to ask a registry next, whom, and when: servers in order, whole lists and deltas, back-off. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import inf

LEAST_BACKOFF_MS = 500.0  # after all servers have failed once; doubles with each further round
JITTER = 0.1  # of each wait, drawn either way: gateways that began together do not ask together for ever
PREFER_AGAIN_MS = 300_000.0  # with another server than the first before that one is tried again
WHOLE_AGAIN_MS = 1_800_000.0  # a whole list in any case: the count can't tell two changes that cancel out
FIRST_WHOLE_MS = 10_000.0  # between two whole lists that a wrong count asked for; doubles while it is wrong
MOST_WHOLE_MS = 300_000.0  # at most. Guards against a registry whose count is never right


class Ask(StrEnum):
    """What is asked for."""

    WHOLE = "whole"
    DELTA = "delta"


@dataclass(frozen=True, slots=True)
class Server:
    """A registry's server: where its API begins, and its zone if it has one."""

    url: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Next:
    """Ask this server for that, not before ``at`` (the caller's clock, ms)."""

    at: float
    server: int
    ask: Ask


class Rounds:
    """The order of asking. ``zone``: servers of this zone come first, then the others as they are listed."""

    def __init__(
        self,
        servers: tuple[Server, ...],
        zone: str,
        interval_ms: float,
        deltas: bool = True,
    ) -> None:
        if not servers:
            raise ValueError("servers: is empty")
        self.order = sorted(range(len(servers)), key=lambda n: not zone or servers[n].zone != zone)
        self.servers, self.interval_ms, self.deltas = servers, interval_ms, deltas
        self.place = 0  # in the order
        self.left_first_at = -inf  # when the first server was given up last
        self.failed = 0  # servers in a row that failed
        self.whole_at = -inf  # the last whole list
        self.wrong = 0  # whole lists that did not put the count right, in a row
        self.ask = Ask.WHOLE
        self.at = -inf

    def next(self) -> Next:
        """What to do now."""
        return Next(self.at, self.order[self.place], self.ask)

    def answered(self, now: float, right: bool, draw: float) -> None:
        """The last question was answered. ``right``: its count agrees with the copy. ``draw``: 0 to 1."""
        self.failed = 0
        if right:
            self.wrong = 0
        if self.ask is Ask.WHOLE:
            self.whole_at = now
            self.wrong += not right
        if self.place and now - self.left_first_at >= PREFER_AGAIN_MS:
            self.place, self.left_first_at = 0, now
        self.at = now + self.interval_ms * (1.0 + JITTER * (2.0 * draw - 1.0))
        self.ask = Ask.DELTA if self.deltas else Ask.WHOLE
        if self.ask is Ask.DELTA and not right and self._may_whole(now):
            self.ask, self.at = Ask.WHOLE, now
        elif now - self.whole_at >= WHOLE_AGAIN_MS:
            self.ask = Ask.WHOLE

    def _may_whole(self, now: float) -> bool:
        """Whether a wrong count is worth a whole list now: not so soon after one that did not help."""
        if not self.wrong:
            return True
        return now - self.whole_at >= min(MOST_WHOLE_MS, FIRST_WHOLE_MS * 2.0 ** min(self.wrong - 1, 10))

    def whole_next(self) -> None:
        """The delta was of no use."""
        self.ask, self.failed = Ask.WHOLE, 0

    def no_deltas(self) -> None:
        """The server does not give any: whole lists from now on, at once."""
        self.deltas, self.ask, self.failed = False, Ask.WHOLE, 0

    def failed_once(self, now: float, draw: float) -> None:
        """The server gave no answer that can be used: the next one is asked, after the last one a wait."""
        self.failed += 1
        if self.place == 0:
            self.left_first_at = now
        self.place = (self.place + 1) % len(self.order)
        rounds, rest = divmod(self.failed, len(self.order))
        if rest:
            self.at = now
            return
        backoff = min(LEAST_BACKOFF_MS * 2.0 ** min(rounds - 1, 30), max(self.interval_ms, LEAST_BACKOFF_MS))
        self.at = now + backoff * (1.0 + JITTER * (2.0 * draw - 1.0))
