"""Requests that may go but can't yet, in the order in which they do."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from brackenloft.policy.attempts import Flight


class Parked:
    """What waits; ``value`` orders it: what is refused last and released first."""

    def __init__(self, value: Callable[[Flight], float]) -> None:
        self.value = value
        self.flights: dict[str, Flight] = {}

    def __len__(self) -> int:
        return len(self.flights)

    def __contains__(self, flight: Flight) -> bool:
        return flight.request.request_id in self.flights

    def add(self, flight: Flight) -> None:
        """It waits from now on, if it does not yet."""
        self.flights[flight.request.request_id] = flight

    def drop(self, flight: Flight) -> None:
        """It waits no more."""
        self.flights.pop(flight.request.request_id, None)

    def least(self) -> Flight:
        """The one of least value, the longest parked among equals."""
        return min(self.flights.values(), key=self.value)

    def in_order(self) -> Iterator[Flight]:
        """The most valuable first; others may leave meanwhile."""
        for flight in sorted(self.flights.values(), key=self.value, reverse=True):
            if flight.request.request_id in self.flights:
                yield flight
