"""Our copy of a registry: whole lists, deltas, and the registry's own count that says if it is right. Pure.

The count (``apps__hashcode``) is over all instances, whoever asked for: the copy holds the status of every
one, and what is needed of those that may be servers of ours.

What a delta means. A registry repeats each change for some minutes, so that each delta holds changes that are
known: an entry is passed over if its time of update is before that of the one held. Whole lists come out of
a cache and may be older than a delta: there too, for as long as such caches are kept. A delta that was lost,
or comes from a registry that knows less, shows in the count, and the whole list is asked for.

A registry that was restarted knows no older times: all nodes register anew, and seem to have started. It
shows in deltas whose version went back, or in many nodes at once that are missing or have started. A while
after that, the aftermath, a node that was known before keeps its start, unless it says that it is new.
Guards against a fleet that is cold at once for no reason: requests would be refused. Harm: a node that
does restart then, and neither reports STARTING nor its own time, is taken for warm.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from math import inf

from brackenloft.membership.eureka.forms import Raw
from brackenloft.membership.eureka.rows import Id, Row, RowError, row, status_of
from brackenloft.membership.model import Instance

MOST_INSTANCES = 100_000  # in all: ten times the largest fleet that is planned for
MOST_TOLD = 5  # instances that can't be read, named for each document; the rest are counted
DELETED = "DELETED"


CACHED_MS = 60_000.0  # how old a whole list may be: twice what registries keep one. Harm: where a registry's
# clock is set back, changes of nodes that had just changed are learned so much later
AFTERMATH_MS = 90_000.0  # a lease's length unless it says otherwise: all that live have registered by then
MOST_SHARE = 0.15  # of the servers, missing or started at once: from there on registries doubt themselves too


class CopyError(ValueError):
    """A list that can't be taken."""


@dataclass(frozen=True, slots=True)
class Record:
    """An instance of the registry; ``instance`` is None for one that is no server of ours."""

    status: str
    updated_ms: float
    up_since_ms: float  # by the registry: what its start was reckoned by
    taken_ms: float  # when it was taken, by our clock
    instance: Instance | None


@dataclass(frozen=True, slots=True)
class Moment:
    """When a document is read: our time, whether nothing was known before, whether in an aftermath."""

    now: float
    first: bool = False
    aftermath: bool = False


@dataclass(slots=True)
class Change:
    """What a document changed for us."""

    changed: list[Instance] = field(default_factory=list)
    left: list[str] = field(default_factory=list)
    absent: list[str] = field(default_factory=list)
    unread: int = 0
    told: list[str] = field(default_factory=list)  # of the unread ones, what was wrong
    started: dict[Id, Instance] = field(default_factory=dict)  # those that seem to have, as they were before


Reader = Callable[[Row, "Record | None", Moment], Instance | None]


class Copy:
    """The registry as last known. ``read`` makes a server of a row: None if it is none of ours."""

    def __init__(self, read: Reader) -> None:
        self.read = read
        self.records: dict[Id, Record] = {}
        self.forgotten: dict[Id, Record] = {}  # missing from a whole list, while an aftermath lasts
        self.deleted: dict[Id, Record] = {}  # lately, in the order of that
        self.counts: dict[str, int] = {}
        self.servers = 0  # records with an instance of ours
        self.whole = False  # a whole list was taken
        self.aftermath_until = -inf

    def restarted(self, now: float) -> None:
        """The registry has been."""
        self.aftermath_until = now + AFTERMATH_MS

    def moment(self, now: float) -> Moment:
        """For a document that is read now."""
        aftermath = now < self.aftermath_until
        while self.deleted:
            oldest = next(iter(self.deleted))
            if now - self.deleted[oldest].taken_ms < CACHED_MS and len(self.deleted) <= MOST_INSTANCES:
                break
            del self.deleted[oldest]
        if not aftermath:
            self.forgotten.clear()
        return Moment(now, not self.whole, aftermath)

    def _many(self, number: int) -> bool:
        return number > max(1.0, MOST_SHARE * self.servers)

    def hashcode(self) -> str:
        """The count as registries write it."""
        return "".join(f"{status}_{number}_" for status, number in sorted(self.counts.items()))

    def _put(self, name: Id, record: Record | None) -> None:
        before = self.records.pop(name, None)
        if before:
            self.servers -= before.instance is not None
            self.counts[before.status] -= 1
            if not self.counts[before.status]:
                del self.counts[before.status]
        if record:
            self.records[name] = record
            self.servers += record.instance is not None
            self.counts[record.status] = self.counts.get(record.status, 0) + 1

    def _record(self, raw: Raw, change: Change, moment: Moment) -> tuple[Id, Record] | None:
        """Read one; None if not even its identity can be. One that can be read no further still counts."""
        try:
            name, status = status_of(raw)
        except RowError as error:
            _tell(change, "?", error)
            return None
        before = self.records.get(name) or self.forgotten.get(name)
        known = before.instance if before else None
        try:
            read = row(raw)
            instance = self.read(read, before, moment)
        except RowError as error:
            _tell(change, f"{name[0]}/{name[1]}", error)
            # Guards against losing a server whose entry is spoilt: what was known stays, not in service.
            return name, Record(status, 0.0, 0.0, moment.now, known and replace(known, ready=False))
        if known and instance and instance.started_ms > known.started_ms:
            change.started[name] = known
        return name, Record(status, read.updated_ms, read.up_since_ms, moment.now, instance)

    # ---- A whole list

    def begin(self, now: float) -> Loading:
        """Take a whole list, instance by instance; the copy stays as it is until it is complete."""
        return Loading(self, self.moment(now))

    # ---- A delta

    def delta(self, raws: list[Raw], now: float) -> Change:
        """Take a delta."""
        change, moment = Change(), self.moment(now)
        for raw in raws:
            read = self._record(raw, change, moment)
            if read is None:
                continue
            name, record = read
            before = self.records.get(name)
            if _older(record, before or self.deleted.get(name)):
                change.started.pop(name, None)
                continue
            deleted = str(raw.get("actionType", "")).strip().upper() == DELETED
            if not deleted and before is None and len(self.records) >= MOST_INSTANCES:
                raise CopyError(f"more than {MOST_INSTANCES} instances")
            self._put(name, None if deleted else record)
            self.deleted.pop(name, None)
            if deleted:
                self.deleted[name] = record
            _differ(change, before, None if deleted else record)
        if self._many(len(change.started)):
            self.restarted(now)
            self._as_before(change)
        return change

    def _as_before(self, change: Change) -> None:
        """Those that seem to have started have not."""
        starts = {}
        for name, known in change.started.items():
            record = self.records.get(name)
            if record and record.instance:
                now = replace(record.instance, started_ms=known.started_ms)
                self.records[name] = replace(record, instance=now)
                starts[now.name] = known.started_ms
        change.changed = [
            replace(item, started_ms=starts[item.name]) if item.name in starts else item
            for item in change.changed
        ]


class Loading:
    """A whole list on its way. Compared as it comes, so that little is left to do at its end."""

    def __init__(self, copy: Copy, moment: Moment) -> None:
        self.copy, self.moment = copy, moment
        self.fresh: dict[Id, Record] = {}
        self.missing = set(copy.records)  # so far
        self.counts: dict[str, int] = {}
        self.servers = 0
        self.change = Change()

    def take(self, raw: Raw) -> None:
        """One instance. One that comes twice: the last counts."""
        copy = self.copy
        read = copy._record(raw, self.change, self.moment)
        if read is None:
            return
        name, record = read
        self.missing.discard(name)
        before = copy.records.get(name)
        newer = before or copy.deleted.get(name)
        if newer and _older(record, newer) and record.taken_ms - newer.taken_ms < CACHED_MS:
            self.change.started.pop(name, None)
            if before is None:
                return  # out of a cache from before it was deleted
            record = before
        if before and replace(record, taken_ms=before.taken_ms) == before:
            record = before  # and the new one goes at once, not with ten thousand others at the end
        again = self.fresh.get(name)
        if again:
            self.counts[again.status] -= 1
            self.servers -= again.instance is not None
        elif len(self.fresh) >= MOST_INSTANCES:
            raise CopyError(f"more than {MOST_INSTANCES} instances")
        self.fresh[name] = record
        self.counts[record.status] = self.counts.get(record.status, 0) + 1
        self.servers += record.instance is not None
        _differ(self.change, again or before, record)
        if not self.moment.aftermath and copy._many(len(self.change.started)):
            # From here on as in an aftermath, so that few are left to be put right at the end.
            self.moment = replace(self.moment, aftermath=True)

    def finish(self) -> Change:
        """The list was whole: it is the copy now."""
        copy, change, now = self.copy, self.change, self.moment.now
        for name in self.missing:
            instance = copy.records[name].instance
            if instance:
                change.absent.append(instance.name)
        if copy._many(len(change.absent)) or copy._many(len(change.started)):
            copy.restarted(now)
        if now < copy.aftermath_until:
            copy.forgotten.update((name, copy.records[name]) for name in self.missing)
            while len(copy.forgotten) > MOST_INSTANCES:
                del copy.forgotten[next(iter(copy.forgotten))]
        many = copy._many(len(change.started))
        copy.records, copy.whole, copy.servers = self.fresh, True, self.servers
        copy.counts = {status: number for status, number in self.counts.items() if number}
        if many:
            copy._as_before(change)
        return change


def _older(record: Record, before: Record | None) -> bool:
    return before is not None and 0.0 < record.updated_ms < before.updated_ms


def _tell(change: Change, where: str, error: RowError) -> None:
    change.unread += 1
    if len(change.told) < MOST_TOLD:
        change.told.append(f"{where[:100]}: {error}")


def _differ(change: Change, before: Record | None, after: Record | None) -> None:
    old, new = before and before.instance, after and after.instance
    if new and new != old:
        change.changed.append(new)
    elif old and not new:
        change.left.append(old.name)
