"""The scripts: what clients do and nodes answer, what decisions do on each event, and what has to happen.

Decisions here decide nothing: they do by heart what the script says for an event. What is compared is what
lies between an action and the next event, which is the driver's on sockets and the world's in virtual time.
Times are milliseconds, far enough apart that no machine mixes them up.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from brackenloft import interface as api
from brackenloft.interface import Cancel, Fail, Refuse, Send, SetTimer, Status

Seen = tuple[object, ...]  # an event, or an answer that a client has had
STEP_MS = 60.0  # between two things whose order matters
LONG_MS = 5000.0  # a client's patience where it plays no part


@dataclass(frozen=True, slots=True)
class Asks:
    """A client's request: when, how long it waits, and when it leaves, if it does."""

    name: str
    at: float = 0.0
    patience_ms: float = LONG_MS
    leaves: float = 0.0


@dataclass(frozen=True, slots=True)
class Answers:
    """What a node does with one command: after how long, and what comes; SILENT: nothing ever."""

    status: Status = Status.OK
    after: float = 0.0


SILENT = Answers(Status.TIMEOUT)


@dataclass(frozen=True, slots=True)
class Script:
    """One of them. ``does``: the actions on an event; ``happens``: the whole trace, in order.

    ``nodes``: what each does with the commands that it gets, one after the other; None: it is down.
    ``stopped``: the commands that a node sees given up, as (node, request).
    """

    name: str
    asks: tuple[Asks, ...]
    nodes: tuple[tuple[Answers, ...] | None, ...]
    does: Mapping[Seen, tuple[api.Action, ...]]
    happens: tuple[Seen, ...]
    stopped: tuple[tuple[int, str], ...] = ()


class Trace:
    """Decisions by heart; what they see and what clients are answered, in one order."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.seen: list[Seen] = []
        self.stopped: list[tuple[int, str]] = []
        self.due: dict[int, float] = {}  # timers, by token
        self.wrong: list[str] = []
        self.inside = False

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """As a gateway's decisions."""
        if self.inside:
            self.wrong.append(f"{event!r} came inside another")
        told = told_as(event)
        if told is None:
            return []
        if isinstance(event, api.TimerFired) and now_ms < self.due.pop(event.token, 0.0):
            self.wrong.append(f"timer {event.token} was early")
        if isinstance(event, api.Outcome) and event.latency_ms < 0.0:
            self.wrong.append(f"{event!r} took less than no time")
        self.seen.append(told)
        actions = list(self.script.does.get(told, ()))
        for action in actions:
            if isinstance(action, SetTimer):
                self.due[action.token] = now_ms + action.delay_ms
        return actions

    def answered(self, name: str, what: str) -> None:
        """A client has its answer."""
        self.seen.append(("answer", name, what))

    def differences(self) -> list[str]:
        """How it differs from the script; empty if it conforms."""
        found = list(self.wrong)
        if tuple(self.seen) != self.script.happens:
            found.append(f"{self.script.name}: wanted {self.script.happens}, seen {tuple(self.seen)}")
        if sorted(self.stopped) != sorted(self.script.stopped):
            found.append(f"{self.script.name}: given up {self.stopped}, not {self.script.stopped}")
        return found

    def whole(self) -> bool:
        """Whether all that the script wants has been seen."""
        return len(self.seen) >= len(self.script.happens)


def told_as(event: api.Event) -> Seen | None:
    """An event as scripts name it; None for those that play no part."""
    if isinstance(event, api.Request):
        return ("request", event.request_id)
    if isinstance(event, api.Outcome):
        return ("outcome", event.request_id, event.attempt, event.server, event.status, event.closed)
    if isinstance(event, api.ClientGone):
        return ("gone", event.request_id)
    return ("timer", event.token) if isinstance(event, api.TimerFired) else None


def asked(name: str = "a") -> Seen:
    """A request has come."""
    return ("request", name)


def answer(what: str, name: str = "a") -> Seen:
    """A client has its answer."""
    return ("answer", name, what)


def outcome(status: Status, server: int = 0, attempt: int = 0, closed: bool = False, name: str = "a") -> Seen:
    """An attempt has ended."""
    return ("outcome", name, attempt, server, status, closed)


@dataclass(frozen=True, slots=True)
class _Made:
    """Shortens the list below: one request, two nodes."""

    nodes: tuple[tuple[Answers, ...] | None, ...]
    does: Mapping[Seen, tuple[api.Action, ...]]
    happens: tuple[Seen, ...]
    stopped: tuple[tuple[int, str], ...] = ()
    asks: tuple[Asks, ...] = field(default=(Asks("a"),))


OK, ERROR, FULL, RESET = Answers(), Answers(Status.ERROR), Answers(Status.FULL), Answers(Status.RESET)
LATER, LAST = Answers(after=STEP_MS), Answers(after=2 * STEP_MS)
TO_0, TO_1 = Send("a", 0), Send("a", 1)


def _second(first: Answers) -> _Made:
    """The first attempt comes to nothing, the second is served."""
    ended = outcome(first.status)
    return _Made(
        ((first,), (OK,)),
        {asked(): (TO_0,), ended: (TO_1,)},
        (asked(), ended, answer("served"), outcome(Status.OK, 1, 1, True)),
    )


_ALL: dict[str, _Made] = {
    # A good answer goes to the client before the decisions hear of it.
    "served": _Made(
        ((OK,), ()), {asked(): (TO_0,)}, (asked(), answer("served"), outcome(Status.OK, closed=True))
    ),
    "refused": _Made(((), ()), {asked(): (Refuse("a", 40.0),)}, (asked(), answer("refused"))),
    "failed": _Made(((), ()), {asked(): (Fail("a"),)}, (asked(), answer("failed"))),
    "an error, then served": _second(ERROR),
    "full, then served": _second(FULL),
    "reset, then served": _second(RESET),
    "no connection, then served": _Made(
        (None, (OK,)),
        {asked(): (TO_0,), outcome(Status.CONNECT_FAILED): (TO_1,)},
        (asked(), outcome(Status.CONNECT_FAILED), answer("served"), outcome(Status.OK, 1, 1, True)),
    ),
    "no connection at all": _Made(
        (None, None),
        {
            asked(): (TO_0,),
            outcome(Status.CONNECT_FAILED): (TO_1,),
            outcome(Status.CONNECT_FAILED, 1, 1): (Fail("a"),),
        },
        (asked(), outcome(Status.CONNECT_FAILED), outcome(Status.CONNECT_FAILED, 1, 1), answer("failed")),
    ),
    # An attempt's own time: the node sees that it is given up, the client still waits.
    "an attempt's time is up": _Made(
        ((SILENT,), (OK,)),
        {asked(): (Send("a", 0, STEP_MS),), outcome(Status.TIMEOUT): (TO_1,)},
        (asked(), outcome(Status.TIMEOUT), answer("served"), outcome(Status.OK, 1, 1, True)),
        ((0, "a"),),
    ),
    # Both good: the first is the answer, the second an outcome and no answer.
    "two at once": _Made(
        ((OK,), (LATER,)),
        {asked(): (TO_0, TO_1)},
        (asked(), answer("served"), outcome(Status.OK, closed=True), outcome(Status.OK, 1, 1, True)),
    ),
    "the second is faster": _Made(
        ((LATER,), (OK,)),
        {asked(): (TO_0, TO_1)},
        (asked(), answer("served"), outcome(Status.OK, 1, 1, True), outcome(Status.OK, closed=True)),
    ),
    "sent after the answer": _Made(
        ((OK, OK), (LATER,)),
        {asked(): (TO_0, TO_1), outcome(Status.OK, closed=True): (TO_0,)},
        (
            asked(),
            answer("served"),
            outcome(Status.OK, closed=True),
            outcome(Status.NOT_SENT, 0, 2, True),
            outcome(Status.OK, 1, 1, True),
        ),
    ),
    "cancelled": _Made(
        ((SILENT,), ()),
        {
            asked(): (TO_0, SetTimer(7, STEP_MS, "a")),
            ("timer", 7): (Cancel("a", 0),),
            outcome(Status.CANCELLED): (Refuse("a"),),
        },
        (asked(), ("timer", 7), outcome(Status.CANCELLED), answer("refused")),
        ((0, "a"),),
    ),
    "cancelled after its answer": _Made(
        ((OK,), (SILENT,)),
        {asked(): (TO_0, TO_1), outcome(Status.OK, closed=True): (Cancel("a", 1),)},
        (asked(), answer("served"), outcome(Status.OK, closed=True), outcome(Status.CANCELLED, 1, 1, True)),
        ((1, "a"),),
    ),
    "cancelled too late": _Made(
        ((ERROR,), ()),
        {asked(): (TO_0,), outcome(Status.ERROR): (Cancel("a", 0), Fail("a"))},
        (asked(), outcome(Status.ERROR), answer("failed")),
    ),
    "refused while one is out": _Made(
        ((LAST,), ()),
        {asked(): (TO_0, SetTimer(1, STEP_MS)), ("timer", 1): (Refuse("a"),)},
        (asked(), ("timer", 1), answer("refused"), outcome(Status.OK, closed=True)),
    ),
    "answered once": _Made(
        ((LAST,), ()),
        {asked(): (TO_0, SetTimer(1, STEP_MS)), ("timer", 1): (Fail("a"), Refuse("a"))},
        (asked(), ("timer", 1), answer("failed"), outcome(Status.OK, closed=True)),
    ),
    "the client leaves": _Made(
        ((LAST,), ()),
        {asked(): (TO_0,)},
        (asked(), ("gone", "a"), outcome(Status.OK, closed=True)),
        asks=(Asks("a", leaves=STEP_MS),),
    ),
    "the client leaves, and it is cancelled": _Made(
        ((SILENT,), ()),
        {asked(): (TO_0,), ("gone", "a"): (Cancel("a", 0),)},
        (asked(), ("gone", "a"), outcome(Status.CANCELLED, closed=True)),
        ((0, "a"),),
        (Asks("a", leaves=STEP_MS),),
    ),
    "the client leaves before anything is sent": _Made(
        ((), ()), {}, (asked(), ("gone", "a")), asks=(Asks("a", leaves=STEP_MS),)
    ),
    "timers by their time": _Made(
        ((), ()),
        {
            asked(): (SetTimer(1, 3 * STEP_MS), SetTimer(2, STEP_MS), SetTimer(3, 2 * STEP_MS)),
            ("timer", 1): (Fail("a"),),
        },
        (asked(), ("timer", 2), ("timer", 3), ("timer", 1), answer("failed")),
    ),
    "two requests, each its own": _Made(
        ((LAST, OK), ()),
        {asked(): (TO_0,), asked("b"): (Send("b", 0),)},
        (
            asked(),
            asked("b"),
            answer("served", "b"),
            outcome(Status.OK, closed=True, name="b"),
            answer("served"),
            outcome(Status.OK, closed=True),
        ),
        asks=(Asks("a"), Asks("b", STEP_MS)),
    ),
    "one is cancelled, the other is not touched": _Made(
        ((SILENT, LAST), ()),
        {
            asked(): (TO_0,),
            asked("b"): (Send("b", 0), Cancel("a", 0)),
            outcome(Status.CANCELLED): (Fail("a"),),
        },
        (
            asked(),
            asked("b"),
            outcome(Status.CANCELLED),
            answer("failed"),
            answer("served", "b"),
            outcome(Status.OK, closed=True, name="b"),
        ),
        ((0, "a"),),
        (Asks("a"), Asks("b", STEP_MS)),
    ),
}
SCRIPTS = tuple(
    Script(name, made.asks, made.nodes, made.does, made.happens, made.stopped) for name, made in _ALL.items()
)
