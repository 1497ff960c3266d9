"""What a history of hollow gateways shows: how soon revisions were in force, and where. Pure."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from math import ceil, inf

from brackenloft.lab.configuration.events import (
    Event,
    InForce,
    ProcessEnded,
    PublishAnswered,
    PublishAsked,
    RunLeft,
    RunStarted,
)

PUBLISHED = "Published"


@dataclass(frozen=True, slots=True)
class Cut:
    """Runs of these gateways were cut off from all control servers for a time."""

    gateways: frozenset[str]
    from_ms: float
    until_ms: float


@dataclass(slots=True)
class RunHistory:
    """One run: when each revision came in force. Both lists only grow."""

    gateway: str
    started_ms: float
    process: str
    ended_ms: float = inf
    revisions: list[int] = field(default_factory=list)
    times_ms: list[float] = field(default_factory=list)

    def reached_ms(self, revision: int) -> float | None:
        """When it first had this revision or a newer one in force; None if it never did."""
        place = bisect_left(self.revisions, revision)
        return self.times_ms[place] if place < len(self.times_ms) else None


@dataclass(frozen=True, slots=True)
class InForceTimes:
    """For each published revision and each run that lived then, the time until it was in force there.

    ``missed`` counts pairs in which that never came, though the run lived until the history's end.
    """

    times_s: tuple[float, ...]
    missed: int


def run_histories(events: Iterable[Event]) -> dict[str, RunHistory]:
    """All runs of a history, which is in the order of time."""
    runs: dict[str, RunHistory] = {}
    ended: dict[str, float] = {}
    for event in events:
        match event:
            case RunStarted():
                runs[event.run] = RunHistory(event.gateway, event.at_ms, event.process)
            case RunLeft():
                runs[event.run].ended_ms = event.at_ms
            case ProcessEnded():
                ended[event.process] = event.at_ms
            case InForce():
                runs[event.run].revisions.append(event.revision)
                runs[event.run].times_ms.append(event.at_ms)
    for run in runs.values():
        run.ended_ms = min(run.ended_ms, ended.get(run.process, inf))
    return runs


def published_ms(events: Sequence[Event]) -> dict[int, float]:
    """When each revision that was published had been asked for: the start of its time to be in force."""
    asked = {event.marker: event.at_ms for event in events if isinstance(event, PublishAsked)}
    return {
        event.revision: asked[event.marker]
        for event in events
        if isinstance(event, PublishAnswered) and event.kind == PUBLISHED
    }


def in_force_times(
    events: Sequence[Event], cuts: Sequence[Cut] = (), without: Collection[int] = ()
) -> InForceTimes:
    """From the publisher's request to the swap. Where a gateway is cut off then, from the end of the cut.

    ``without``: revisions that are left out.
    """
    runs, times, missed = run_histories(events), [], 0
    asked = {revision: at_ms for revision, at_ms in published_ms(events).items() if revision not in without}
    for revision, asked_ms in asked.items():
        for run in runs.values():
            if run.started_ms > asked_ms or run.ended_ms < asked_ms:
                continue
            reached_ms = run.reached_ms(revision)
            if reached_ms is not None:
                times.append(max(0.0, reached_ms - _reachable_ms(run.gateway, asked_ms, cuts)) / 1000.0)
            elif run.ended_ms == inf:
                missed += 1
    return InForceTimes(tuple(times), missed)


def _reachable_ms(gateway: str, asked_ms: float, cuts: Sequence[Cut]) -> float:
    """When a gateway could first hear of what was asked for then."""
    for cut in sorted(cuts, key=lambda each: each.from_ms):
        if gateway in cut.gateways and cut.from_ms <= asked_ms < cut.until_ms:
            asked_ms = cut.until_ms
    return asked_ms


def all_in_force_s(events: Sequence[Event], from_ms: float, revision: int, gateways: int) -> float | None:
    """From a moment until so many gateways, by runs begun after it, have a revision in force; None: never."""
    reached: dict[str, float] = defaultdict(lambda: inf)
    for run in run_histories(events).values():
        if run.started_ms < from_ms:
            continue
        when = run.reached_ms(revision)
        if when is not None:
            reached[run.gateway] = min(reached[run.gateway], when)
    if len(reached) < gateways:
        return None
    return (max(reached.values()) - from_ms) / 1000.0


def percentile(values: Sequence[float], share: float) -> float | None:
    """The smallest value that this share of all does not exceed; None of none."""
    rows = sorted(values)
    return rows[max(0, ceil(share * len(rows)) - 1)] if rows else None
