"""Crowds: requests that each hold a place of their own for a while, worth it or not."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable

CROWD_FROM = 0.85  # share of the places taken from which some are turned away
CROWD_AIM = 0.9  # share of the places that is to be taken: full ones make requests wait where nobody sees it
CROWD_GAIN = 5.0  # by how much more come in for each share of the places below that, and fewer above it
CROWD_SEEN = 200  # of the last of them, whose values tell which are cheap, and whose times how many come
FAIR_MULTIPLE = 2.0  # of its fair share that a customer may ask for: rates are uneven by nature
FAIR_LEAST = 2.0  # and so many more: two by chance are no crowd
SURPLUS = 1e-6  # of its value that one beyond the fair share keeps: it comes behind all others


class Crowd:
    """Who of a crowd is turned away: first what is beyond a customer's fair share, then what is worth least.

    Guards against crowds that ask once on ever new connections: places come free at a fixed pace, whatever
    they were held for. As many come in as go, steadily, and the cheapest are turned away. Guards against
    waves: turning away by how many places are taken alone fills them in one second with whatever comes, and
    turns away the worthiest in the next, until those have gone. Shares go by the plans' rates. Guards against
    one customer whose crowd takes the places of its class from all others; of what it asks, its fair share
    keeps its worth and the rest comes last. Harm: while it lasts the least worth is hardly served at all.
    """

    def __init__(self) -> None:
        self.last: deque[tuple[float, Hashable, float]] = deque()
        self.asked: dict[Hashable, tuple[int, float]] = {}  # by customer: of the last, and its weight
        self.weights = 0.0  # of all customers among the last

    def turns_away(
        self, value: float, customer: Hashable, weight: float, scarcity: float, turnover: float, now: float,
        draw: Callable[[], float],
    ) -> bool:
        """Whether the place that the request would hold is better kept; it counts as one of the last.

        ``scarcity``: share of the places that is taken; ``turnover``: places that come free in a second, when
        all are held as long as they may be. ``now`` in milliseconds.
        """
        if (fair := self._fair(customer, weight)) < 1.0 and draw() >= fair:
            value *= SURPLUS
        away = scarcity > CROWD_FROM and self._rank(value, draw) < 1.0 - self._kept(scarcity, turnover, now)
        self._note(value, customer, weight, now)
        return away

    def _rank(self, value: float, draw: Callable[[], float]) -> float:
        """The share of the last that are worth less; among equals by chance."""
        cheaper = sum(other < value for other, _, _ in self.last)
        alike = sum(other == value for other, _, _ in self.last)
        return (cheaper + draw() * alike) / max(1, len(self.last))

    def _kept(self, scarcity: float, turnover: float, now: float) -> float:
        """The share of all that come for which there are places."""
        span_s = (now - self.last[0][2]) / 1000.0 if self.last else 0.0
        coming = len(self.last) / span_s if span_s > 0.0 else 0.0
        share = turnover / coming if coming else 1.0
        return share * max(0.0, 1.0 + CROWD_GAIN * (CROWD_AIM - scarcity))

    def _fair(self, customer: Hashable, weight: float) -> float:
        """The part of what a customer asks for that is within its fair share of the last places."""
        count, known = self.asked.get(customer, (0, 0.0))
        everyone = self.weights - known + weight
        fair = (len(self.last) + 1) * weight / everyone
        return (FAIR_MULTIPLE * fair + FAIR_LEAST) / (count + 1)

    def _note(self, value: float, customer: Hashable, weight: float, now: float) -> None:
        self.last.append((value, customer, now))
        count, known = self.asked.get(customer, (0, 0.0))
        self.asked[customer] = (count + 1, weight)
        self.weights += weight - known
        if len(self.last) > CROWD_SEEN:
            _, oldest, _ = self.last.popleft()
            count, known = self.asked.pop(oldest)
            if count > 1:
                self.asked[oldest] = (count - 1, known)
            else:
                self.weights -= known
