"""Bounded model checking of the decisions: small worlds, every legal order of events up to a depth.

A world has two nodes, up to three requests and what may happen next: a request comes, an attempt ends in
one way or another, the next timer fires, a client leaves, a node begins to drain. Breadth first, states
that look the same are entered once; each path is held to the rules on answers, effects, attempts and
drains. A broken path is a list of steps that ``replay`` plays again.
"""

from __future__ import annotations

import copy
import hashlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from brackenloft import interface as api

DEPTH = 7  # events of a path: a request, two attempts and their ends, a list, a timer
MOST_STATES = 200_000  # some minutes; the search ends there and says so
PATIENCE_MS, STEP_MS, GRACE_MS = 2000.0, 1.0, 1000.0
NEVER_RAN = (api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.NOT_SENT)
ENDS = (api.Status.OK, api.Status.ERROR, api.Status.FULL, api.Status.RESET, api.Status.CONNECT_FAILED)
CLASSES = tuple(
    api.RequestClass(effect.value, 500.0, 4000.0, effect, key_scope=api.KeyScope.ZONE, key_memory_ms=400.0)
    for effect in api.Effect
)
SETTINGS = api.Settings(
    gateways=1,
    index=0,
    zone="a",
    classes=CLASSES,
    plans=(api.Plan("plan", rate=10.0, burst=2.0),),
    limits=api.Limits(max_attempts=3, can_cancel=True),
    contract=api.Contract(8.0, GRACE_MS, 0.2, 1000.0, 3.0, 2000.0),
    meter_period_ms=1000.0,
    tick_ms=1.0,
)
Step = tuple[Any, ...]
Make = Callable[[api.Settings, int], Any]


@dataclass(slots=True)
class Seen:
    """What has become of a request."""

    effect: api.Effect
    deadline: float
    out: dict[int, int] = field(default_factory=dict)  # attempt to node
    ended: list[tuple[api.Status, int, float]] = field(default_factory=list)  # how, at which node, sent when
    sent_at: list[float] = field(default_factory=list)
    answer: str = ""


@dataclass(slots=True)
class Place:
    """A state of the search."""

    policy: Any
    now: float = 1000.0
    timers: list[tuple[float, int]] = field(default_factory=list)
    asked: dict[str, Seen] = field(default_factory=dict)
    draining: float = 0.0  # since when node 2 drains
    path: tuple[Step, ...] = ()


@dataclass(frozen=True, slots=True)
class Found:
    """What a search came to."""

    states: int
    depth: int
    broken: tuple[tuple[str, tuple[Step, ...]], ...]
    whole: bool  # the depth was reached without running out of states


def begin(make: Make, seed: int = 1) -> Place:
    """Two nodes, one in each room."""
    place = Place(make(SETTINGS, seed))
    place.policy.handle(
        place.now, api.ServerList(api.ListKind.FULL, (api.ServerEntry(1, "a"), api.ServerEntry(2, "b")))
    )
    return place


def steps(place: Place, effects: tuple[api.Effect, ...]) -> list[Step]:
    """What may happen next."""
    found: list[Step] = []
    if len(place.asked) < len(effects):
        found.append(("ask", effects[len(place.asked)].value))
    for name, seen in place.asked.items():
        found.extend(("end", name, number, status.value) for number in sorted(seen.out) for status in ENDS)
        if not seen.answer:
            found.append(("gone", name))
    if not place.draining:
        found.append(("drain",))
    if place.timers:
        found.append(("timer",))
    return found


def take(place: Place, step: Step) -> str:
    """Carry out a step in place; the rule that it broke, or nothing."""
    place.path = (*place.path, step)
    place.now += STEP_MS
    kind = step[0]
    event: api.Event
    if kind == "ask":
        name = f"r{len(place.asked) + 1}"
        place.asked[name] = Seen(api.Effect(step[1]), place.now + PATIENCE_MS)
        event = api.Request(name, step[1], "plan", "c", PATIENCE_MS)
    elif kind == "end":
        _, name, number, word = step
        seen, status = place.asked[name], api.Status(word)
        server = seen.out.pop(number)
        seen.ended.append((status, server, seen.sent_at[number]))
        if status is api.Status.OK and not seen.answer:
            seen.answer = "served"
        event = api.Outcome(name, number, server, status, 20.0, bool(seen.answer))
    elif kind == "gone":
        place.asked[step[1]].answer = "gone"
        event = api.ClientGone(step[1])
    elif kind == "drain":
        place.draining = place.now
        event = api.ServerList(
            api.ListKind.CHANGES, (api.ServerEntry(2, "b", state=api.ServerState.DRAINING),)
        )
    else:
        due, token = min(place.timers)
        place.timers.remove((due, token))
        place.now = max(place.now, due)
        event = api.TimerFired(token)
    try:
        actions = place.policy.handle(place.now, event)
    except Exception as error:
        return f"the decisions failed: {error!r}"
    return next(filter(None, (_act(place, action) for action in actions)), "") or _overdue(place)


def _act(place: Place, action: api.Action) -> str:
    if isinstance(action, api.SetTimer):
        place.timers.append((place.now + action.delay_ms, action.token))
    elif isinstance(action, api.Cancel):
        seen = place.asked[action.request_id]
        if action.attempt in seen.out:  # its end comes as any other: here at once, as a cancelled one
            server = seen.out.pop(action.attempt)
            seen.ended.append((api.Status.CANCELLED, server, seen.sent_at[action.attempt]))
            later = place.policy.handle(
                place.now,
                api.Outcome(
                    action.request_id, action.attempt, server, api.Status.CANCELLED, 20.0, bool(seen.answer)
                ),
            )
            return next(filter(None, (_act(place, one) for one in later)), "")
    elif isinstance(action, api.Send):
        return _sent(place, place.asked[action.request_id], action.server)
    elif isinstance(action, api.Refuse | api.Fail):
        return _answered(place.asked[action.request_id], isinstance(action, api.Refuse))
    return ""


def _sent(place: Place, seen: Seen, server: int) -> str:
    number = len(seen.sent_at)
    seen.sent_at.append(place.now)
    wrong = ""
    if seen.answer:
        wrong = "sent after the answer"
    elif seen.out:
        wrong = "a second attempt while one is out"
    elif number >= SETTINGS.limits.max_attempts:
        wrong = "more attempts than are allowed"
    elif server == 2 and place.draining and place.now > place.draining + GRACE_MS:
        wrong = "something new for a node that drains"
    else:
        ran = [(where, at) for status, where, at in seen.ended if status not in NEVER_RAN]
        if ran and seen.effect is api.Effect.UNSAFE:
            wrong = "an unsafe one again that may have run"
        if (
            ran
            and seen.effect is api.Effect.KEYED
            and (
                any(where != server for where, _ in ran) or place.now - ran[0][1] >= CLASSES[1].key_memory_ms
            )
        ):
            wrong = "a keyed one again where its key is not known"
    seen.out[number] = server
    return wrong


def _answered(seen: Seen, refused: bool) -> str:
    wrong = "answered twice" if seen.answer else ""
    seen.answer = seen.answer or ("refused" if refused else "failed")
    unproven = bool(seen.out) or any(status not in NEVER_RAN for status, _, _ in seen.ended)
    if refused and unproven and seen.effect is not api.Effect.SAFE:
        wrong = wrong or "refused though it may have run"
    return wrong


def _overdue(place: Place) -> str:
    """Whether somebody's time is up unanswered; while timers of that time have yet to fire it is not."""
    if place.timers and min(place.timers)[0] <= place.now:
        return ""
    late = [name for name, seen in place.asked.items() if not seen.answer and place.now > seen.deadline]
    return f"{late[0]} had no answer in time" if late else ""


def look(place: Place) -> bytes:
    """What tells states apart: all that was seen, the timers, and the decisions' own marks of each
    request.
    """
    flights = getattr(place.policy, "flights", {})
    own = sorted(
        (name, flight.state.value, len(flight.out), flight.sends, flight.maybe_ran is not None)
        for name, flight in flights.items()
    )
    seen = [
        (
            name,
            one.answer,
            sorted(one.out.items()),
            [(s.value, w) for s, w, _ in one.ended],
            [place.now - at for at in one.sent_at],
        )
        for name, one in place.asked.items()
    ]
    waits = sorted(round(due - place.now, 1) for due, _ in place.timers)
    return hashlib.sha256(
        repr((own, seen, waits, place.draining and place.now - place.draining)).encode()
    ).digest()


def explore(
    make: Make, effects: tuple[api.Effect, ...], depth: int = DEPTH, most: int = MOST_STATES
) -> Found:
    """Breadth first over one world; stops at the first depth at which a rule is broken."""
    queue, known = deque([begin(make)]), {b""}
    broken: list[tuple[str, tuple[Step, ...]]] = []
    states = reached = 0
    while queue:
        place = queue.popleft()
        if broken and len(place.path) >= reached:
            break
        if len(place.path) >= depth:
            continue
        for step in steps(place, effects):
            if states >= most:
                return Found(states, reached, tuple(broken), False)
            after = copy.deepcopy(place)
            wrong = take(after, step)
            states += 1
            reached = max(reached, len(after.path))
            if wrong:
                broken.append((wrong, after.path))
                continue
            mark = look(after)
            if mark not in known:
                known.add(mark)
                queue.append(after)
    return Found(states, reached, tuple(broken), True)


def replay(make: Make, path: tuple[Step, ...]) -> str:
    """Play a path again; the rule that it breaks, or nothing."""
    place = begin(make)
    return next(filter(None, (take(place, step) for step in path)), "")
