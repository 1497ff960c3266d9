"""Requests that may go but can't yet, kept so that the next one is found without looking at all of them.

All of one class, plan and size are worth the same for their work, so they stand in one queue, the longest
parked first; there are few queues, and they are put in order when one is asked for. Who waits for something
of its own (its customer's cap, the ceiling's refill) is out of the queues' way until that has come about.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import islice

from brackenloft.policy.attempts import Flight
from brackenloft.policy.meter import Customer

LOOKED = 16  # of a queue that can't go, before the next one is looked at: others are hardly luckier

Waiting = dict[str, Flight]  # by request id, the longest parked first


class Queue:
    """All that are worth the same. ``open`` wait for room at the servers alone."""

    __slots__ = ("open", "blocked")

    def __init__(self) -> None:
        self.open: Waiting = {}
        self.blocked: Waiting = {}

    def first(self) -> Flight:
        """The longest parked."""
        heads = [next(iter(part.values())) for part in (self.open, self.blocked) if part]
        return min(heads, key=lambda flight: flight.parked_as)


class Parked:
    """What waits; ``value`` orders it: what is refused last and released first."""

    def __init__(self, value: Callable[[Flight], float]) -> None:
        self.value = value
        self.queues: dict[tuple[str, str, float], Queue] = {}
        self.capped: dict[Customer, Waiting] = {}  # for a place under their customer's cap
        self.count = self.number = 0

    def __len__(self) -> int:
        return self.count

    def __contains__(self, flight: Flight) -> bool:
        return flight.parked_as > 0

    def add(self, flight: Flight, capped: bool, blocked: bool) -> None:
        """It waits from now on: for its customer's cap, for something else of its own, or for the servers."""
        request_id = flight.request.request_id
        queue = self.queues.setdefault(self._key(flight), Queue())
        if not flight.parked_as:
            self.number += 1
            self.count += 1
            flight.parked_as = self.number
        else:
            self._leave(flight, queue)
        (queue.blocked if capped or blocked else queue.open)[request_id] = flight
        if capped:
            self.capped.setdefault(flight.customer, {})[request_id] = flight

    def drop(self, flight: Flight) -> None:
        """It waits no more."""
        if flight.parked_as:
            key = self._key(flight)
            queue = self.queues[key]
            self._leave(flight, queue)
            flight.parked_as = 0
            self.count -= 1
            if not queue.open and not queue.blocked:
                del self.queues[key]

    def least(self) -> Flight:
        """The one of least value, the longest parked among equals."""
        return min((queue.first() for queue in self.queues.values()), key=self.value)

    def in_order(self, turns: bool) -> Iterator[Flight]:
        """Who waits for the servers, the most valuable first, until a queue does not move; the caller stops
        when there is no more room. Those that are looked at may leave meanwhile. ``turns``: who can't go
        makes way for those behind, as it may be a matter of each one's own turn at cold servers.
        """
        queues = [queue for queue in self.queues.values() if queue.open]
        for queue in sorted(queues, key=lambda queue: self.value(queue.first()), reverse=True):
            while some := list(islice(queue.open.values(), LOOKED)):
                yield from (flight for flight in some if flight.request.request_id in queue.open)
                stuck = [flight for flight in some if flight.request.request_id in queue.open]
                if len(stuck) == len(some):
                    for flight in stuck if turns else ():
                        queue.open[flight.request.request_id] = queue.open.pop(flight.request.request_id)
                    break

    def of(self, customer: Customer) -> list[Flight]:
        """Who waits for a place under this customer's cap, the most valuable first."""
        return sorted(self.capped.get(customer, {}).values(), key=self.value, reverse=True)

    def _key(self, flight: Flight) -> tuple[str, str, float]:
        return flight.kind.name, flight.plan.name, flight.request.units

    def _leave(self, flight: Flight, queue: Queue) -> None:
        request_id = flight.request.request_id
        if queue.open.pop(request_id, None) is None:
            queue.blocked.pop(request_id, None)
        if (waiting := self.capped.get(flight.customer)) and waiting.pop(request_id, None) and not waiting:
            del self.capped[flight.customer]
