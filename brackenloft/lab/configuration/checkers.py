"""What a history of configuration must show. Pure: events in, broken promises out.

Each checker relies on whether an event's time lies before or after what it tells of (see ``events``), so that
what it finds is broken whatever the machine did between two of a process's instructions.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from enum import StrEnum

import msgspec

from brackenloft.configuration.model import FIRST_REVISION, Plan, Record
from brackenloft.lab.configuration.events import (
    Event,
    FaultsOver,
    HistoryEnded,
    InForce,
    ProcessEnded,
    PublishAnswered,
    PublishAsked,
    RecordRead,
    RunEnrolled,
    RunLeft,
    RunStarted,
    Served,
    StatusTold,
)

IN_FORCE_WITHIN_MS = 12_000.0  # after the last fault, or after it was published if that is later
PUBLISHED, INVALID, CONFLICT, UNAVAILABLE = "Published", "Invalid", "Conflict", "Unavailable"


class Promise(StrEnum):
    """What was promised, by the name that a verdict counts it under."""

    NEVER_BACK = "went_back"
    WHOLE = "torn"
    TOLD_WHEN_DONE = "told_early"
    NEWEST_SOON = "late"
    ONE_CHAIN = "not_a_chain"
    ANSWER_HOLDS = "answer_broken"


class Breach(msgspec.Struct, frozen=True):
    """One place of a history at which a promise is broken."""

    promise: Promise
    at_ms: float
    what: str


def went_back(events: Sequence[Event]) -> list[Breach]:
    """Runs that served by, or put in force, a revision older than one that they had in force."""
    newest: dict[str, int] = {}
    breaches = []
    for event in events:
        if not isinstance(event, InForce | Served):
            continue
        before = newest.get(event.run, FIRST_REVISION)
        if event.revision < before:
            what = f"{event.run}: {type(event).__name__} {event.revision} after {before}"
            breaches.append(Breach(Promise.NEVER_BACK, event.at_ms, what))
        newest[event.run] = max(before, event.revision)
    return breaches


# ---- The chain of revisions


def chain(events: Iterable[Event]) -> dict[int, Record]:
    """The records that stand, by revision: the first that was read of each."""
    records: dict[int, Record] = {}
    for event in events:
        if isinstance(event, RecordRead):
            records.setdefault(event.record.revision, event.record)
    return records


def not_a_chain(events: Sequence[Event]) -> list[Breach]:
    """Revisions with two contents, records out of line, and revisions in force without a record."""
    breaches = _records_not_in_line(events)
    digests: dict[int, bytes] = {}
    for event in events:
        found = _digest_told(event)
        if found is None:
            continue
        revision, digest = found
        first = digests.setdefault(revision, digest)
        if digest != first:
            told = f"{digest.hex()} told by {type(event).__name__}, {first.hex()} before"
            what = f"revision {revision}: {told}"
            breaches.append(Breach(Promise.ONE_CHAIN, event.at_ms, what))
    return breaches


def _records_not_in_line(events: Sequence[Event]) -> list[Breach]:
    records = chain(events)
    breaches = []
    for revision, record in records.items():
        if record.delta.base != revision - 1:
            what = f"record {revision} has base {record.delta.base}"
            breaches.append(Breach(Promise.ONE_CHAIN, 0.0, what))
    missing = sorted(set(range(FIRST_REVISION + 1, max(records, default=FIRST_REVISION) + 1)) - set(records))
    if missing:
        breaches.append(Breach(Promise.ONE_CHAIN, 0.0, f"no server gave out the records of {missing}"))
    for event in events:
        if isinstance(event, InForce) and event.revision not in records and event.revision != FIRST_REVISION:
            what = f"{event.run}: revision {event.revision} is in force and nobody holds its record"
            breaches.append(Breach(Promise.ONE_CHAIN, event.at_ms, what))
    return breaches


def _digest_told(event: Event) -> tuple[int, bytes] | None:
    match event:
        case RecordRead(record=record):
            return record.revision, record.digest
        case InForce(revision=revision, digest=digest) if revision != FIRST_REVISION:
            return revision, digest
        case PublishAnswered(kind="Published", revision=revision, digest=digest):
            return revision, digest
    return None


def answer_broken(events: Sequence[Event]) -> list[Breach]:
    """Changes answered ``Published`` that do not stand, and others that stand against their answer."""
    asked = {event.marker: event for event in events if isinstance(event, PublishAsked)}
    stands_as = _markers(chain(events).values())
    breaches = []
    for event in events:
        if not isinstance(event, PublishAnswered):
            continue
        what = _answer_fault(event, asked[event.marker].delta.base, stands_as.get(event.marker, []))
        if what:
            breaches.append(Breach(Promise.ANSWER_HOLDS, event.at_ms, f"{event.marker}: {what}"))
    for marker, revisions in stands_as.items():
        if len(revisions) > 1:
            breaches.append(Breach(Promise.ANSWER_HOLDS, 0.0, f"{marker}: stands as each of {revisions}"))
    return breaches


def _markers(records: Iterable[Record]) -> dict[str, list[int]]:
    """The revisions at which each marker's change stands."""
    found: dict[str, list[int]] = defaultdict(list)
    for record in records:
        for service in record.delta.put.services:
            found[service.name].append(record.revision)
    return found


def _answer_fault(answer: PublishAnswered, base: int, stands_as: list[int]) -> str:
    if answer.kind == PUBLISHED:
        if answer.revision != base + 1:
            return f"was published as {answer.revision} on {base}"
        if answer.revision not in stands_as:
            return f"was published as {answer.revision} and does not stand"
    elif stands_as and not answer.may_stand:
        return f"was answered {answer.kind} and stands as {stands_as}"
    return ""


# ---- Torn


class Content:
    """The plans and tenants of one revision, worked out without the program's own tree."""

    def __init__(self, plans: dict[str, Plan], tenants: dict[str, str]) -> None:
        self.plans, self.tenants = plans, tenants

    def after(self, record: Record) -> Content:
        """The content after one more record."""
        delta = record.delta
        plans = {name: plan for name, plan in self.plans.items() if name not in delta.remove.plans}
        tenants = {name: plan for name, plan in self.tenants.items() if name not in delta.remove.tenants}
        plans |= {plan.name: plan for plan in delta.put.plans}
        tenants |= {tenant.name: tenant.plan for tenant in delta.put.tenants}
        return Content(plans, tenants)

    def look_up(self, tenant: str) -> tuple[str, float]:
        """The plan of a tenant and its rate; of an unknown one, nothing."""
        plan = self.tenants.get(tenant, "")
        return plan, self.plans[plan].rate if plan in self.plans else 0.0


def contents(records: dict[int, Record]) -> dict[int, Content]:
    """The content of each revision up to the first whose record is missing."""
    found = {FIRST_REVISION: Content({}, {})}
    revision = FIRST_REVISION
    while revision + 1 in records:
        found[revision + 1] = found[revision].after(records[revision + 1])
        revision += 1
    return found


def torn(events: Sequence[Event]) -> list[Breach]:
    """Lookups that give what their revision does not hold, and digests in force that are not its own.

    A run that has put nothing in force yet serves by its own file, which is nobody's revision.
    """
    records = chain(events)
    known = contents(records)
    following: set[str] = set()
    breaches = []
    for event in events:
        if isinstance(event, InForce):
            following.add(event.run)
            record = records.get(event.revision)
            if record and record.digest != event.digest:
                what = f"{event.run}: revision {event.revision} in force with digest {event.digest.hex()}"
                breaches.append(Breach(Promise.WHOLE, event.at_ms, what))
        elif isinstance(event, Served) and event.run in following and event.revision in known:
            right = known[event.revision].look_up(event.tenant)
            if (event.plan, event.rate) != right:
                given = f"{event.tenant} has {event.plan}, {event.rate}, not {right}"
                what = f"{event.run}: by revision {event.revision} {given}"
                breaches.append(Breach(Promise.WHOLE, event.at_ms, what))
    return breaches


# ---- Told too early


class _Run(msgspec.Struct):
    """What a history shows of one run."""

    region: str
    process: str
    enrolled_ms: float = float("inf")
    ended_ms: float = float("inf")
    first_at: dict[int, float] = {}  # revision: when it, or a newer one, was first known to be in force
    looks: list[tuple[float, int]] = []

    def reached(self, revision: int, at_ms: float) -> bool:
        """Whether it had this revision or a newer one in force by then."""
        if revision <= FIRST_REVISION:
            return True
        return any(in_force >= revision and when <= at_ms for in_force, when in self.first_at.items())

    def serves_older_after(self, revision: int, at_ms: float) -> int | None:
        """An older revision by which it served after that; None if it did not."""
        return next((found for when, found in self.looks if when > at_ms and found < revision), None)


def _runs(events: Sequence[Event]) -> dict[str, _Run]:
    runs: dict[str, _Run] = {}
    ended: dict[str, float] = {}
    for event in events:
        match event:
            case RunStarted():
                runs[event.run] = _Run(event.region, event.process, first_at={}, looks=[])
            case RunEnrolled():
                runs[event.run].enrolled_ms = event.at_ms
            case RunLeft():
                runs[event.run].ended_ms = event.at_ms
            case ProcessEnded():
                ended.setdefault(event.process, event.at_ms)
            case InForce():
                runs[event.run].first_at.setdefault(event.revision, event.at_ms)
            case Served():
                runs[event.run].looks.append((event.at_ms, event.revision))
    for run in runs.values():
        run.ended_ms = min(run.ended_ms, ended.get(run.process, float("inf")))
    return runs


def told_early(events: Sequence[Event]) -> list[Breach]:
    """Statuses that count runs which had not the revision in force, or leave out some that live."""
    runs = _runs(events)
    breaches = []
    for event in events:
        if isinstance(event, StatusTold):
            for what in _status_faults(event, runs):
                told = f"revision {event.revision} in {event.region or 'all regions'}"
                breaches.append(Breach(Promise.TOLD_WHEN_DONE, event.at_ms, f"{told}: {what}"))
    return breaches


def _status_faults(status: StatusTold, runs: dict[str, _Run]) -> list[str]:
    here = {name: run for name, run in runs.items() if status.region in ("", run.region)}
    faults = []
    reached = sum(run.reached(status.revision, status.at_ms) for run in here.values())
    if status.confirmed > reached:
        faults.append(f"told at {status.confirmed} runs, {reached} had it in force")
    enrolled = {name: run for name, run in here.items() if run.enrolled_ms < status.asked_ms}
    alive = sum(run.ended_ms > status.at_ms for run in enrolled.values())
    if status.known < alive:
        faults.append(f"told of {status.known} runs, {alive} are alive and enrolled")
    if status.everywhere:
        for name, run in enrolled.items():
            older = run.serves_older_after(status.revision, status.at_ms)
            if older is not None:
                faults.append(f"told as in force, {name} served by {older} after that")
    for cut_off in status.cut_off:
        silent = runs.get(cut_off.run)
        if silent and not silent.reached(cut_off.at_least, status.at_ms):
            faults.append(
                f"{cut_off.run} told to serve by {cut_off.at_least} at least, and never had it in force"
            )
    return faults


# ---- The newest, soon


def late(events: Sequence[Event], within_ms: float = IN_FORCE_WITHIN_MS) -> list[Breach]:
    """Runs that live and are not in time at a published revision, counted from the last fault or later.

    A history that ends before that shows nothing, which is a breach as well.
    """
    over_ms = max((event.at_ms for event in events if isinstance(event, FaultsOver)), default=None)
    end_ms = max((event.at_ms for event in events if isinstance(event, HistoryEnded)), default=None)
    if over_ms is None or end_ms is None:
        return [Breach(Promise.NEWEST_SOON, 0.0, "the history has no end, or its faults have none")]
    published = [event for event in events if isinstance(event, PublishAnswered) and event.kind == PUBLISHED]
    if not published:
        return [Breach(Promise.NEWEST_SOON, end_ms, "nothing was published")]
    breaches = []
    for name, run in _runs_started_by(events, over_ms).items():
        for answer in published:
            due_ms = max(over_ms, answer.at_ms) + within_ms
            if run.ended_ms > min(due_ms, end_ms) and not run.reached(answer.revision, due_ms):
                seen = "by then" if end_ms >= due_ms else "when the history ended"
                what = f"{name}: revision {answer.revision} not in force {seen}"
                breaches.append(Breach(Promise.NEWEST_SOON, due_ms, what))
                break  # what it lacks after that is late too
    return breaches


def _runs_started_by(events: Sequence[Event], begin_ms: float) -> dict[str, _Run]:
    started = {event.run for event in events if isinstance(event, RunStarted) and event.at_ms <= begin_ms}
    return {name: run for name, run in _runs(events).items() if name in started}


def in_force_after_ms(events: Sequence[Event]) -> float | None:
    """How long after the last fault, and the last publish, the last living run came to the newest revision.

    None if nothing was published, or one never did.
    """
    over_ms = max((event.at_ms for event in events if isinstance(event, FaultsOver)), default=0.0)
    published = [event for event in events if isinstance(event, PublishAnswered) and event.kind == PUBLISHED]
    if not published:
        return None
    newest = max(published, key=lambda answer: answer.revision)
    begin_ms = max(over_ms, newest.at_ms)
    end_ms = max(event.at_ms for event in events)
    worst_ms = 0.0
    living = [run for run in _runs_started_by(events, over_ms).values() if run.ended_ms > end_ms]
    for run in living:
        times = [when for revision, when in run.first_at.items() if revision >= newest.revision]
        if not times:
            return None
        worst_ms = max(worst_ms, min(times) - begin_ms)
    return worst_ms


def all_breaches(events: Sequence[Event], within_ms: float = IN_FORCE_WITHIN_MS) -> list[Breach]:
    """Every broken promise of a history."""
    found = went_back(events) + torn(events) + told_early(events) + late(events, within_ms)
    return found + not_a_chain(events) + answer_broken(events)
