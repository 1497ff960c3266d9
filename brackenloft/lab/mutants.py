"""The decisions with one guard taken out, each by patching at run time: what the lab has to find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

from brackenloft import interface as api
from brackenloft.lab import explore, spec
from brackenloft.lab.world import World
from brackenloft.policy import Gateway, attempts, meter, servers
from brackenloft.policy import gateway as deciding

SEARCHED = (6, 40_000)  # events of a path, and states: some seconds a mutant
MORE = 2.0  # times as much sent on beyond the quotas as without the mutant: far beyond chance


@dataclass(frozen=True, slots=True)
class Mutant:
    """A guard taken out: by what patch, what that breaks, and where it shows: in a search, or on the
    shelf.
    """

    patch: Callable[[], Any]
    breaks: str  # a rule, or a figure that grows
    world: str = ""
    search: tuple[api.Effect, ...] = ()


def _served_and_failed(self: Gateway, now: float, event: api.Event) -> list[api.Action]:
    actions = _handle(self, now, event)
    if isinstance(event, api.Outcome) and event.status is api.Status.OK and event.closed:
        return [*actions, api.Fail(event.request_id)]
    return actions


def _no_remove(self: servers.Fleet, ids: Any) -> None:
    list(ids)


def _update(self: servers.Server, entry: api.ServerEntry) -> None:
    _updated(self, entry)
    self.ready = entry.state is not api.ServerState.GONE


def _always_out(self: Gateway, which: tuple[attempts.Flight, int]) -> None:
    flight, number = which
    if number in flight.out and not flight.closed and flight.sends < 3:
        other = self.fleet.choose(flight)
        if other:
            self._send(flight, other)


def _whole_ceiling(
    self: meter.Meter, customer: meter.Customer, plan: api.Plan, units: float, now: float
) -> float:
    width, customer.width = customer.width, 1
    try:
        return _ceiling_wait(self, customer, plan, units, now)
    finally:
        customer.width = width


def _whole_slice(self: meter.Meter, customer: meter.Customer, plan: api.Plan, now: float) -> float:
    return 1.0


def _in_zone_or_not(self: attempts.Flight, server: servers.Server, now: float) -> bool:
    return self.kind.effect is api.Effect.KEYED or _in_group(self, server, now)


def _never_forgotten(self: attempts.Flight, server: servers.Server, now: float) -> bool:
    first = self.maybe_ran
    if first and self.kind.effect is api.Effect.KEYED:
        return _in_group(self, server, first[1])
    return _in_group(self, server, now)


def _costs_nothing(
    self: meter.Meter,
    customer: meter.Customer,
    plan: api.Plan,
    kind: api.RequestClass,
    units: float,
    now: float,
) -> float:
    hold = _hold_ms(self, customer, plan, kind, units, now)
    customer.excess = 0.0
    return hold


def _read_nothing(self: meter.Meter, customer: meter.Customer, used: float, now: float) -> None:
    _read(self, customer, 0.0, now)


_handle, _updated, _in_group = Gateway.handle, servers.Server.update, attempts.Flight.in_group
_ceiling_wait, _hold_ms, _read = meter.Meter.ceiling_wait, meter.Meter.hold_ms, meter.Meter.read

SAFE, KEYED, UNSAFE = (api.Effect.SAFE,), (api.Effect.KEYED,), (api.Effect.UNSAFE,)
MUTANTS = {
    "a drained node is still chosen": Mutant(
        lambda: mock.patch.object(servers.Server, "update", _update), "drains", "drains"
    ),
    "a node that is gone stays": Mutant(
        lambda: mock.patch.object(servers.Fleet, "_remove", _no_remove), "drains", "slow_discovery"
    ),
    "an unsafe one is sent again": Mutant(
        lambda: mock.patch.object(attempts.Flight, "in_group", lambda *_: True),
        "no effect twice",
        search=UNSAFE,
    ),
    "what may have run is forgotten": Mutant(
        lambda: mock.patch.object(attempts.Flight, "note_end", lambda *_: None),
        "no effect twice",
        search=UNSAFE,
    ),
    "what may have run is refused": Mutant(
        lambda: mock.patch.object(attempts.Flight, "may_refuse", lambda _: True),
        "no effect twice",
        search=UNSAFE,
    ),
    "a keyed one goes to another room": Mutant(
        lambda: mock.patch.object(attempts.Flight, "in_group", _in_zone_or_not),
        "no effect twice",
        search=KEYED,
    ),
    "a key is believed for ever": Mutant(
        lambda: mock.patch.object(attempts.Flight, "in_group", _never_forgotten),
        "no effect twice",
        search=KEYED,
    ),
    "no answer before the deadline": Mutant(
        lambda: mock.patch.object(Gateway, "_limit", lambda *_: None), "one answer in time", "no_nodes"
    ),
    "the answer comes late": Mutant(
        lambda: mock.patch.object(deciding, "ANSWER_TICKS", -50.0), "one answer in time", "no_nodes"
    ),
    "answered and failed": Mutant(
        lambda: mock.patch.object(Gateway, "handle", _served_and_failed), "answered twice", "calm"
    ),
    "a second copy is sent": Mutant(
        lambda: mock.patch.object(Gateway, "_on_slow", _always_out), "one at a time", search=SAFE
    ),
    "attempts without end": Mutant(
        lambda: mock.patch.object(Gateway, "_may_resend", lambda _: True), "attempts at most", search=SAFE
    ),
    "a cold node is pushed over": Mutant(
        lambda: mock.patch.object(servers.Fleet, "_cold_turn", lambda *_: True), "cold nodes", "cold_node"
    ),
    "a ceiling for each gateway": Mutant(
        lambda: mock.patch.object(meter.Meter, "ceiling_wait", _whole_ceiling), "ceilings", "low_ceiling"
    ),
    "the ceiling is not drawn": Mutant(
        lambda: mock.patch.object(meter.Meter, "draw_ceiling", lambda *_: None), "ceilings", "low_ceiling"
    ),
    "every slice is the whole quota": Mutant(
        lambda: mock.patch.object(meter.Meter, "_part", _whole_slice), "beyond_quota", "hot_customer"
    ),
    "refused ones cost nothing, sent ones neither": Mutant(
        lambda: mock.patch.object(meter.Meter, "hold_ms", _costs_nothing), "beyond_quota", "hot_customer"
    ),
    "readings say nothing is used": Mutant(
        lambda: mock.patch.object(meter.Meter, "read", _read_nothing), "beyond_quota", "cheap_overuse"
    ),
}


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """The decisions without one guard, within this block."""
    with MUTANTS[name].patch():
        yield


def searched(name: str) -> explore.Found:
    """What a search finds of a mutant."""
    with mutated(name):
        return explore.explore(Gateway, MUTANTS[name].search, *SEARCHED)


def shows(name: str, seed: int = 1) -> bool:
    """Whether it shows: in the search, or in its world beside the unmutated decisions at the same seed."""
    mutant = MUTANTS[name]
    if mutant.search:
        return bool(searched(name).broken)
    experiment = spec.load(Path(mutant.world))[0]
    with mutated(name):
        oracle = World(experiment, Gateway, seed).run().oracle
    if mutant.breaks != "beyond_quota":
        return bool(oracle.rules[mutant.breaks])
    plain = World(experiment, Gateway, seed).run().oracle.figures()[mutant.breaks]
    return oracle.figures()[mutant.breaks] > MORE * plain
