"""The gateway's own entry in a registry: when it registers, renews, reports another state, withdraws. Pure.

not registered   register at once; where that fails, the next server, and a wait after the last one
registered       renew each interval; where the registry has forgotten us (404), register at once
another status   register anew with it, at most once a second
leaving          withdraw, once at each server until one has heard it
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import inf

from brackenloft.lifecycle import State

LEAST_MS = 1000.0  # between two registrations. Guards against a registry that accepts and forgets at once
LEAST_BACKOFF_MS = 500.0
JITTER = 0.1
FOUND, CREATED, NOT_FOUND = 200, 204, 404

# As others are to see us: none but a gateway that serves is up. While it hands over, its successor serves.
STATUS: dict[State, str] = {
    State.STARTING: "STARTING",
    State.HELD_BACK: "STARTING",
    State.READY: "UP",
    State.DRAINING: "OUT_OF_SERVICE",
    State.HANDING: "UP",
    State.HANDING_EMPTY: "OUT_OF_SERVICE",
    State.LEAVING: "DOWN",
    State.LEAVING_HANDED: "DOWN",
    State.GONE: "DOWN",
}


class Step(StrEnum):
    """What to tell the registry."""

    REGISTER = "register"
    RENEW = "renew"
    WITHDRAW = "withdraw"


@dataclass(frozen=True, slots=True)
class Todo:
    """Do this at that time, at this server."""

    at: float
    step: Step
    server: int


class Lease:
    """What the registry was told, and what it is to be told next."""

    def __init__(self, servers: int, interval_ms: float) -> None:
        self.servers, self.interval_ms = servers, interval_ms
        self.status = STATUS[State.STARTING]
        self.told: str | None = None  # the status of the last registration; None: not registered
        self.server = self.failed = 0
        self.renew_at = self.retry_at = self.registered_at = -inf
        self.leaving = self.gone = False

    def state(self, state: State) -> None:
        """The gateway's lifecycle has moved on."""
        self.status = STATUS[state]

    def leave(self) -> None:
        """Withdraw, and then nothing more."""
        self.leaving, self.failed, self.retry_at = True, 0, -inf
        self.gone = self.told is None

    def next(self) -> Todo | None:
        """What to do next; None once it has withdrawn."""
        if self.gone:
            return None
        if self.leaving:
            return Todo(-inf, Step.WITHDRAW, self.server)
        if self.told != self.status:
            return Todo(max(self.retry_at, self.registered_at + LEAST_MS), Step.REGISTER, self.server)
        return Todo(max(self.retry_at, self.renew_at), Step.RENEW, self.server)

    def answered(self, now: float, step: Step, status: str, code: int | None, draw: float) -> None:
        """A step came to this. ``status``: what was told; ``code`` is None where nothing was answered."""
        if step is Step.WITHDRAW:
            self._withdrawn(code)
        elif step is Step.RENEW and code == NOT_FOUND:
            self.told, self.failed = None, 0
        elif code in (FOUND, CREATED):
            self.failed, self.retry_at = 0, -inf
            self.renew_at = now + self.interval_ms * (1.0 + JITTER * (2.0 * draw - 1.0))
            if step is Step.REGISTER:
                self.told, self.registered_at = status, now
        else:
            self._failed(now, draw)

    def _withdrawn(self, code: int | None) -> None:
        self.failed += 1
        self.server = (self.server + 1) % self.servers
        self.gone = code in (FOUND, CREATED, NOT_FOUND) or self.failed >= self.servers

    def _failed(self, now: float, draw: float) -> None:
        """The next server; after the last one a wait that doubles, up to the interval."""
        self.failed += 1
        self.server = (self.server + 1) % self.servers
        rounds, rest = divmod(self.failed, self.servers)
        if not rest:
            wait = min(LEAST_BACKOFF_MS * 2.0 ** min(rounds - 1, 30), max(self.interval_ms, LEAST_BACKOFF_MS))
            self.retry_at = now + wait * (1.0 + JITTER * (2.0 * draw - 1.0))
