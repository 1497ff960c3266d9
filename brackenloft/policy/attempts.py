"""A request in hand: its states, and what may happen in which, as two tables.

Whatever is true of a request's life by its state stands here. A change of state that ``FOLLOWS`` does not
have is an error of ours and raises; a trigger that ``HEARD_IN`` does not have comes too late and is dropped.

  HELD       within its customer's burst band: waits for the end of its hold
  PARKED     may go, but not now: the pool, the cap or the ceiling is full, or there is no server
  OUT        an attempt is out; between two of them for the length of one event
  STREAMING  its answer has begun, or the host does the work: the client's, without a deadline
  ANSWERED   the one final answer has been given, or the client has left; attempts may still be out
"""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import TYPE_CHECKING

from brackenloft.interface import Effect, KeyScope, Plan, Request, RequestClass, Status
from brackenloft.policy.meter import Customer

if TYPE_CHECKING:
    from brackenloft.policy.servers import Server


class State(Enum):
    """Where a request stands."""

    NEW = "new"
    HELD = "held"
    PARKED = "parked"
    OUT = "out"
    STREAMING = "streaming"
    ANSWERED = "answered"


class Trigger(Enum):
    """What a timer, the driver or another request may bring about."""

    RELEASE = "release"  # the end of a hold, room at the servers, the ceiling's refill
    END_PARK = "end of parking"  # too late for an answer within the aim
    SLOW = "slow"  # the attempt is out for half of the aim
    LATE = "late"  # for all of it
    STREAM = "stream"  # the answer has begun
    DEADLINE = "deadline"


FOLLOWS: dict[State, frozenset[State]] = {
    State.NEW: frozenset({State.HELD, State.PARKED, State.OUT, State.STREAMING, State.ANSWERED}),
    State.HELD: frozenset({State.PARKED, State.OUT, State.STREAMING, State.ANSWERED}),
    State.PARKED: frozenset({State.PARKED, State.OUT, State.STREAMING, State.ANSWERED}),
    State.OUT: frozenset({State.OUT, State.STREAMING, State.ANSWERED}),
    State.STREAMING: frozenset({State.ANSWERED}),
    State.ANSWERED: frozenset(),
}

HEARD_IN: dict[Trigger, frozenset[State]] = {
    Trigger.RELEASE: frozenset({State.HELD, State.PARKED}),
    Trigger.END_PARK: frozenset({State.PARKED}),
    Trigger.SLOW: frozenset({State.OUT, State.ANSWERED}),  # it still tells of its server
    Trigger.LATE: frozenset({State.OUT}),
    Trigger.STREAM: frozenset({State.OUT}),
    Trigger.DEADLINE: frozenset({State.NEW, State.HELD, State.PARKED, State.OUT}),
}

PAIR = " of plan "  # in the name of a class under a plan
# What a repeat needs of the time for which servers remember its key, from the last look at the clock to its
# start at a server: a process may be held up for 150 ms in between, and the bytes take their time.
KEY_MARGIN_MS = 200.0
NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT)


class Terms:
    """A class under a plan: what a request of it is sent by, and the names its failures go by."""

    __slots__ = ("kind", "plan", "keys")

    def __init__(self, kind: RequestClass, plan: Plan) -> None:
        self.kind, self.plan = kind, plan
        self.keys = ("", f"class {kind.name}", f"class {kind.name}{PAIR}{plan.name}")


class Flight:
    """A request in hand: held, parked or out, or answered with attempts still out."""

    __slots__ = ("request", "kind", "plan", "customer", "arrived", "deadline", "sends", "out", "tried",
                 "state", "maybe_ran", "turn", "keys", "timers", "parked_as")

    def __init__(self, request: Request, terms: Terms, customer: Customer, now: float, turn: float) -> None:
        self.request, self.customer = request, customer
        self.kind, self.plan, self.keys = terms.kind, terms.plan, terms.keys
        self.arrived, self.deadline = now, now + request.patience_ms
        self.sends, self.turn = 0, turn  # the turn says which cold servers it may go to, once for all
        self.out: dict[int, tuple[Server, float]] = {}
        self.tried: set[int] = set()
        self.state = State.NEW
        self.parked_as = 0  # its number among all that were parked; 0 while it is not
        self.timers: list[int] = []  # tokens of those that are for this request alone
        self.maybe_ran: tuple[Server, float] | None = None  # the first attempt that may have run

    @property
    def closed(self) -> bool:
        """Whether it has had its final answer."""
        return self.state is State.ANSWERED

    def move(self, state: State) -> None:
        """Change the state; RuntimeError for a change that the table does not have."""
        if state not in FOLLOWS[self.state]:
            raise RuntimeError(f"{self.request.request_id}: {state.value} after {self.state.value}")
        self.state = state

    def hears(self, trigger: Trigger) -> bool:
        """Whether this still means something."""
        return self.state in HEARD_IN[trigger]

    def note_end(self, status: Status, attempt: tuple[Server, float]) -> None:
        """An attempt has failed: from here on the request may have run, unless that is ruled out."""
        if status not in NEVER_RAN and self.maybe_ran is None:
            self.maybe_ran = attempt

    def may_refuse(self) -> bool:
        """Whether trying again is proven harmless. Guards the rule that no effect happens twice."""
        unproven = self.maybe_ran is not None or bool(self.out)
        keyed_all = self.kind.effect is Effect.KEYED and self.kind.key_scope is KeyScope.ALL
        return self.kind.effect is Effect.SAFE or keyed_all or not unproven

    def in_group(self, server: Server, now: float) -> bool:
        """Whether the request may go to this server, by what may have run already."""
        if self.maybe_ran is None or self.kind.effect is Effect.SAFE:
            return True
        if self.kind.effect is Effect.UNSAFE:
            return False
        first = self.maybe_ran[0]
        if self.key_memory_left_ms(now) <= 0.0:
            return False
        scope = self.kind.key_scope
        return scope is KeyScope.ALL or (
            server.zone == first.zone and (scope is KeyScope.ZONE or server.cell == first.cell))

    def key_memory_left_ms(self, now: float) -> float:
        """How long a repeat may still be written, so that servers drop it; infinity where none is one.

        An attempt that waits for a connection may be written later than it is sent. Guards against a second
        run once they have forgotten.
        """
        if self.maybe_ran is None or self.kind.effect is not Effect.KEYED:
            return inf
        return self.maybe_ran[1] + self.kind.key_memory_ms - KEY_MARGIN_MS - now
