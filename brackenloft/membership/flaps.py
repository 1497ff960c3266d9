"""Nodes that come and go all the time: out at once, back in only when they have stood for a while. Pure."""

from __future__ import annotations

from math import inf

from brackenloft.membership.model import Key

RETURNS = 3  # within the window are no flapping yet: a deploy, and a deploy that was taken back
WINDOW_MS = 60_000.0  # of returns that count together: some polls
FIRST_MS = 2_000.0  # the first wait, which doubles with each further return: a rest of each lost connection
MOST_MS = 30_000.0  # the longest: a heartbeat of registries, by which a node has proved that it stands
REMEMBERED = RETURNS + 5  # returns of a node: with these the wait is the longest
MOST_GONE = 10_000  # nodes remembered: a fleet's worth of those that are gone
MOST_SHARE = 0.25  # of the nodes that may wait so at once


class Flaps:
    """When a node that has come back may be sent to again.

    Guards against a node whose state flips each second: each flip costs connections and what is on its way
    there. Harm: a good node rests up to 30 s. Bound: where more than a quarter flap, it is their source that
    flips (two registries that disagree), and none waits.
    """

    def __init__(self) -> None:
        self.returns: dict[Key, list[float]] = {}  # of the window, also of nodes that are gone
        self.until: dict[Key, float] = {}

    def came_back(self, key: Key, now: float, known: int) -> None:
        """A node that was withdrawn is said to be ready."""
        times = [at for at in self.returns.get(key, ()) if at > now - WINDOW_MS] + [now]
        self.returns[key] = times[-REMEMBERED:]
        beyond = len(times) - RETURNS
        if beyond > 0 and len(self.until) < MOST_SHARE * known:
            self.until[key] = now + min(MOST_MS, FIRST_MS * 2.0 ** (beyond - 1))

    def wait_until(self, key: Key, now: float) -> float:
        """Until when it waits; at or before ``now`` if it does not."""
        until = self.until.get(key, -inf)
        if until <= now:
            self.until.pop(key, None)
        return until

    def went(self, key: Key) -> None:
        """It is withdrawn again; its next return is reckoned anew."""
        self.until.pop(key, None)

    def was_here(self, key: Key) -> bool:
        """Whether a node that is new now was listed before."""
        return key in self.returns

    def left(self, key: Key) -> None:
        """It is gone from all lists. Guards against one that leaves and registers again each second."""
        self.until.pop(key, None)
        self.returns[key] = self.returns.pop(key, [])  # the last to be forgotten
        while len(self.returns) > MOST_GONE:
            del self.returns[next(iter(self.returns))]
