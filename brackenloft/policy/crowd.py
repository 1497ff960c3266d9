"""Crowds: requests that each hold a place of their own for a while, worth it or not."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable

CROWD_FROM = 0.9  # share of the places taken from which the cheapest of them are turned away
CROWD_SEEN = 200  # of the last of them, whose values tell which are cheap
FAIR_MULTIPLE = 2.0  # of its fair share that a customer may ask for: rates are uneven by nature
FAIR_LEAST = 2.0  # and so many more: two by chance are no crowd
SURPLUS = 1e-6  # of its value that one beyond the fair share keeps: it comes behind all others


class Crowd:
    """Who of a crowd is turned away: first what is beyond a customer's fair share, then what is worth least.

    Guards against crowds that ask once on ever new connections: places come free at a fixed pace, whatever
    they were held for. The cheapest are turned away, more of them the more places are taken, so that as many
    come in as go. Shares go by the plans' rates. Guards against one customer whose crowd takes the places of
    its class from all others; of what it asks, its fair share keeps its worth and the rest comes last.
    Harm: while it lasts the least worth is hardly served at all.
    """

    def __init__(self) -> None:
        self.last: deque[tuple[float, Hashable]] = deque()
        self.asked: dict[Hashable, tuple[int, float]] = {}  # by customer: of the last, and its weight
        self.weights = 0.0  # of all customers among the last

    def turns_away(
        self, value: float, customer: Hashable, weight: float, scarcity: float, draw: Callable[[], float],
    ) -> bool:
        """Whether the place that the request would hold is better kept; it counts as one of the last."""
        fair = self._fair(customer, weight)
        if fair < 1.0 and draw() >= fair:
            value *= SURPLUS
        cheaper = sum(other < value for other, _ in self.last)
        alike = sum(other == value for other, _ in self.last)
        rank = (cheaper + draw() * alike) / max(1, len(self.last))
        self._note(value, customer, weight)
        return rank < (scarcity - CROWD_FROM) / (1.0 - CROWD_FROM)

    def _fair(self, customer: Hashable, weight: float) -> float:
        """The part of what a customer asks for that is within its fair share of the last places."""
        count, known = self.asked.get(customer, (0, 0.0))
        everyone = self.weights - known + weight
        fair = (len(self.last) + 1) * weight / everyone
        return (FAIR_MULTIPLE * fair + FAIR_LEAST) / (count + 1)

    def _note(self, value: float, customer: Hashable, weight: float) -> None:
        self.last.append((value, customer))
        count, known = self.asked.get(customer, (0, 0.0))
        self.asked[customer] = (count + 1, weight)
        self.weights += weight - known
        if len(self.last) > CROWD_SEEN:
            _, oldest = self.last.popleft()
            count, known = self.asked.pop(oldest)
            if count > 1:
                self.asked[oldest] = (count - 1, known)
            else:
                self.weights -= known
