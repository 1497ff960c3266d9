"""What a history must show. Pure: lists of events in, lists of broken promises out.

``holders``   at no instant do two holders act (intervals of system-wide time)
``tokens``    no effect with a smaller token is taken after one with a larger
``goes_on``   while nothing keeps them from it, each task goes on within the bound
``lines_up``  operations on a register can be put in one order that each of them bears out
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

Event = dict[str, Any]
MOST_STATES = 2_000_000  # looked at for one register before a history is given up as too long
CUT_MS = 1e15  # after all: an operation that never ended


@dataclass(frozen=True, slots=True, order=True)
class Span:
    """From one moment at which a process knew that it might act to the last one."""

    begin: float
    end: float
    who: str
    token: int


def spans(events: Iterable[Event]) -> dict[str, list[Span]]:
    """Of each task. Moments are stamped before the lease is checked, and written only if it stood."""
    open_: dict[tuple[str, str, int, int], tuple[float, float]] = {}
    for event in events:
        if event["kind"] == "acts":
            key = event["task"], event["who"], event["token"], event["run"]
            first, last = open_.get(key, (event["at"], event["at"]))
            open_[key] = min(first, event["at"]), max(last, event["at"])
    found: dict[str, list[Span]] = {}
    for (task, who, token, _), (begin, end) in open_.items():
        found.setdefault(task, []).append(Span(begin, end, who, token))
    return {task: sorted(rows) for task, rows in found.items()}


def holders(events: Iterable[Event]) -> list[str]:
    """Pairs of different holders that act at the same instant."""
    broken = []
    for task, rows in spans(events).items():
        latest: Span | None = None
        for span in rows:
            if latest and span.begin <= latest.end and span.token != latest.token:
                broken.append(
                    f"{task}: {latest.who} (token {latest.token}) acts until {latest.end:.1f} and {span.who} "
                    f"(token {span.token}) from {span.begin:.1f}"
                )
            if latest is None or span.end > latest.end:
                latest = span
    return broken


def tokens(events: Iterable[Event]) -> list[str]:
    """Effects that a place took after it had seen a larger token, in the place's own order."""
    largest: dict[str, int] = {}
    broken = []
    for event in events:
        if event["kind"] == "effect":
            place, token = event["place"], event["token"]
            if token < largest.get(place, 0):
                broken.append(f"{place}: token {token} after {largest[place]} at {event['at']:.1f}")
            largest[place] = max(largest.get(place, 0), token)
    return broken


def gaps(events: Sequence[Event], begin: float, end: float, tasks: Iterable[str]) -> dict[str, float]:
    """The longest time of each task without anybody acting, within begin and end."""
    found = {}
    for task in tasks:
        moments = [event["at"] for event in events if event["kind"] == "acts" and event["task"] == task]
        inside = [begin, *sorted(at for at in moments if begin <= at <= end), end]
        found[task] = max(after - before for before, after in zip(inside, inside[1:], strict=False))
    return found


def goes_on(
    events: Sequence[Event],
    calm: Iterable[tuple[float, float]],
    tasks: Sequence[str],
    within_ms: float,
) -> list[str]:
    """Tasks that nobody did for longer than the bound, within a time in which a majority could be had."""
    broken = []
    for begin, end in calm:
        for task, gap in gaps(events, begin, end, tasks).items():
            if gap > within_ms:
                broken.append(f"{task}: nobody acted for {gap:.0f} ms, {within_ms:.0f} at most")
    return broken


# ---- Registers


@dataclass(frozen=True, slots=True)
class Op:
    """One operation on a register, from the call to its answer.

    ``read`` gave ``version`` and ``data``; ``cas`` put ``data`` in place of ``version``: ``took`` is True,
    False, or None where that is not known.
    """

    begin: float
    end: float
    kind: str
    version: int
    data: str
    took: bool | None = True


State = tuple[int, str]


def after(state: State, op: Op) -> State | None:
    """The state after an operation that takes effect here; None if its answer says otherwise."""
    if op.kind == "read":
        return state if (op.version, op.data) == state else None
    fits = state[0] == op.version
    if op.took is False:
        return None if fits else state
    return (op.version + 1, op.data) if fits else None


def operations(events: Iterable[Event]) -> dict[str, list[Op]]:
    """Of each register. What may or may not have been done has no end."""
    found: dict[str, list[Op]] = {}
    for event in events:
        if event["kind"] == "op":
            end = CUT_MS if event["took"] is None else event["at"]
            found.setdefault(event["register"], []).append(
                Op(event["begin"], end, event["does"], event["version"], event["data"], event["took"])
            )
    return found


def one_order(ops: Sequence[Op], first: State = (0, "")) -> bool | None:
    """Whether there is an order of these that each bears out; None if that was not settled in time.

    Wing and Gong's search with Lowe's memory of what was tried: an operation may come next if no other one
    that is left had ended before it began. One that is not known to have been done may be left out.
    """
    rows = sorted(ops, key=lambda op: (op.begin, op.end))
    must = sum(1 << at for at, op in enumerate(rows) if op.end < CUT_MS)
    seen: set[tuple[int, State]] = set()
    stack: list[tuple[int, State]] = [(0, first)]
    while stack:
        done, state = stack.pop()
        if done & must == must:
            return True
        if (done, state) in seen:
            continue
        seen.add((done, state))
        if len(seen) > MOST_STATES:
            return None
        soonest = math.inf
        for at, op in enumerate(rows):
            if done >> at & 1:
                continue
            if op.begin > soonest:
                break
            soonest = min(soonest, op.end)
            following = after(state, op)
            if following is not None:
                stack.append((done | 1 << at, following))
    return False


def lines_up(events: Iterable[Event]) -> list[str]:
    """Registers whose operations fit no order."""
    broken = []
    for register, ops in operations(events).items():
        verdict = one_order(ops)
        if verdict is not True:
            why = "fit no order" if verdict is False else "were too many to be put in order"
            broken.append(f"{register}: {len(ops)} operations {why}")
    return broken
