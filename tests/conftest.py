"""A gateway with a scripted clock: sends events, keeps the answers, fires due timers by hand."""

from __future__ import annotations

from dataclasses import replace

import pytest
from fakes import HOUSINGS, housing

from brackenloft import (
    Contract,
    Effect,
    Fail,
    Gateway,
    KeyScope,
    Limits,
    ListKind,
    Outcome,
    Plan,
    Refuse,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Settings,
    Status,
    TimerFired,
)

CLASSES = (
    RequestClass("safe", 2000.0, 4000.0, Effect.SAFE),
    RequestClass("keyed", 2000.0, 4000.0, Effect.KEYED, key_scope=KeyScope.ZONE, key_memory_ms=3000.0),
    RequestClass("keyed-all", 2000.0, 4000.0, Effect.KEYED, key_scope=KeyScope.ALL, key_memory_ms=3000.0),
    RequestClass("keyed-cell", 2000.0, 4000.0, Effect.KEYED, key_scope=KeyScope.CELL, key_memory_ms=3000.0),
    RequestClass("unsafe", 2000.0, 4000.0, Effect.UNSAFE),
)
DEAR = RequestClass("dear", 1000.0, 4000.0, Effect.UNSAFE, worth=4.0)  # beside CLASSES where it is needed
PLANS = (
    Plan("metered", rate=10.0, burst=8.0),
    Plan("capped", rate=10.0, burst=100.0, max_in_flight=4),
    Plan("ceiling", rate=100.0, burst=1000.0, ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=2.0),
    Plan("free"),
    Plan("only-cap", max_in_flight=2),
    Plan("capped-wide", max_in_flight=60),
)
SETTINGS = Settings(
    gateways=2,
    index=0,
    zone="a",
    classes=CLASSES,
    plans=PLANS,
    limits=Limits(max_attempts=3, can_cancel=True),
    contract=Contract(8.0, 500.0, 0.2, 10_000.0, 3.0, 2000.0, 10_000.0),
    meter_period_ms=1000.0,
    largest_units=4,
    tick_ms=2.0,
)


class Rig:
    """One gateway, its clock and what it was told to do."""

    def __init__(self, settings: Settings = SETTINGS, seed: int = 1) -> None:
        self.gateway, self.now = Gateway(settings, seed), 1000.0
        self.settings = settings
        self.timers: list[tuple[float, int]] = []
        self.sent: dict[str, list[int]] = {}
        self.answers: dict[str, str] = {}
        self.count = 0

    def do(self, event) -> list:
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
            elif isinstance(action, Send):
                assert action.request_id not in self.answers, "sent after the answer"
                self.sent.setdefault(action.request_id, []).append(action.server)
            elif isinstance(action, (Refuse, Fail)):
                assert action.request_id not in self.answers, "answered twice"
                self.answers[action.request_id] = type(action).__name__
        return actions

    def servers(self, *entries: ServerEntry, kind: ListKind = ListKind.FULL) -> list:
        return self.do(ServerList(kind, entries))

    def ask(self, plan="free", class_name="safe", customer="c", patience=4000.0, units=1, width=2) -> str:
        """A new request; its id."""
        self.count += 1
        name = f"r{self.count}"
        self.do(Request(name, class_name, plan, customer, patience, units, width))
        return name

    def finish(self, name: str, status=Status.OK, attempt=None, used=None, units=None, latency=50.0) -> list:
        """The outcome of an attempt, the last by default."""
        attempt = len(self.sent[name]) - 1 if attempt is None else attempt
        server = self.sent[name][attempt]
        if status is Status.OK:
            self.answers.setdefault(name, "Ok")
        return self.do(Outcome(name, attempt, server, status, latency, status is Status.OK, used, units))

    def run(self, ms: float) -> None:
        """Let time pass and fire what falls due."""
        end = self.now + ms
        while due := [timer for timer in self.timers if timer[0] <= end]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.do(TimerFired(first[1]))
        self.now = end


def entry(number: int, zone="a", **more) -> ServerEntry:
    return ServerEntry(number, zone, **more)


@pytest.fixture
def rig() -> Rig:
    made = Rig()
    made.servers(entry(1), entry(2))
    return made


def rig_with(**changes) -> Rig:
    return Rig(replace(SETTINGS, **changes))


def pytest_generate_tests(metafunc):
    """The socket tests run on every housing of the gateway."""
    if metafunc.module.__name__.startswith("test_net_") or metafunc.module.__name__ == "test_edge":
        metafunc.parametrize("in_a_housing", HOUSINGS, indirect=True)


@pytest.fixture(autouse=True)
def in_a_housing(request):
    housing["now"] = getattr(request, "param", HOUSINGS[0])
    yield
    housing["now"] = HOUSINGS[0]
