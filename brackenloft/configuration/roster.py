"""Which processes of gateways there are and what each has in force, as control servers know it. Pure.

A *run* is one process of a gateway. Each control server keeps a ``Roster`` of the runs that it was told of;
a run is told to ``copies`` servers before it gets its first configuration, so that any ``enough_servers`` of
them know it. What a run confirmed only grows, so that the rosters of several servers are merged by taking
the largest: ``View`` is a join semilattice (commutative, associative, idempotent, monotone).

``progress`` says what follows for a revision. It is never told to be in force everywhere too early:

- each server that counts says itself that the revision (or a later one) stands. A run that it does not know
  is enrolled there later, and gets what stands by then, as the register is read after the enrolment;
- a run that is silent counts as serving what it last confirmed, however long that is ago;
- a run is gone only if it said so, or a newer process of the same gateway is known and it has been silent
  for longer than ``GONE_AFTER_MS``.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from brackenloft.configuration.messages import Confirmation, Follower, ServerStatus

MOST_RUNS = 16_384  # of a roster: 570 gateways with several processes, and their predecessors
CUT_OFF_AFTER_MS = 12_000.0  # of silence: three long polls
GONE_AFTER_MS = 120_000.0  # of silence, of a run that has a successor
KEPT_MS = 600_000.0  # of a run that is gone, so that all servers have heard of it

RunKey = tuple[str, str]  # gateway, run


class RosterFullError(RuntimeError):
    """There are ``MOST_RUNS`` runs already; no further one can be enrolled."""


def key_of(follower: Follower) -> RunKey:
    """What tells a run from all others."""
    return follower.gateway, follower.run


@dataclass(slots=True)
class Run:
    """What one server knows of a run. ``heard_ms`` is on this server's clock."""

    follower: Follower
    in_force: int
    heard_ms: float
    left: bool = False


class Roster:
    """The runs that one server knows."""

    def __init__(self) -> None:
        self.runs: dict[RunKey, Run] = {}

    def enrol(self, follower: Follower, now_ms: float) -> bool:
        """Know a run from now on; True if it is new here. RosterFullError if there is no room."""
        if key_of(follower) in self.runs:
            return False
        if len(self.runs) >= MOST_RUNS:
            self.forget_gone(now_ms)
        if len(self.runs) >= MOST_RUNS:
            raise RosterFullError(f"{MOST_RUNS} runs are known")
        self.runs[key_of(follower)] = Run(follower, 0, now_ms)
        return True

    def confirm(self, follower: Follower, in_force: int, now_ms: float) -> None:
        """A run said what it has in force; RosterFullError as ``enrol``."""
        self.enrol(follower, now_ms)
        run = self.runs[key_of(follower)]
        run.in_force = max(run.in_force, in_force)
        run.heard_ms = max(run.heard_ms, now_ms)

    def leave(self, follower: Follower, now_ms: float) -> bool:
        """A run ended; True if that is news. Nothing to do for a run that is not known."""
        run = self.runs.get(key_of(follower))
        if run is None or run.left:
            return False
        run.left = True
        run.heard_ms = max(run.heard_ms, now_ms)
        return True

    def confirmations(self, now_ms: float) -> tuple[Confirmation, ...]:
        """All runs, as other servers and operators are told."""
        return tuple(
            Confirmation(run.follower, run.in_force, max(0.0, now_ms - run.heard_ms), run.left)
            for run in self.runs.values()
        )

    def adopt(self, confirmations: Iterable[Confirmation], now_ms: float) -> None:
        """Take over what other servers know: for one that lost its disk. RosterFullError as ``enrol``."""
        for confirmation in confirmations:
            self.confirm(confirmation.follower, confirmation.in_force, now_ms - confirmation.silent_ms)
            if confirmation.left:
                self.leave(confirmation.follower, now_ms - confirmation.silent_ms)

    def forget_gone(self, now_ms: float) -> list[Follower]:
        """Drop runs that have been gone for long, and tell which."""
        forgotten = []
        newest = _newest(run.follower for run in self.runs.values())
        for key, run in list(self.runs.items()):
            silent_ms = now_ms - run.heard_ms
            replaced = run.follower.incarnation < newest[run.follower.gateway]
            if silent_ms > KEPT_MS and (run.left or replaced):
                del self.runs[key]
                forgotten.append(run.follower)
        return forgotten


def _newest(followers: Iterable[Follower]) -> dict[str, int]:
    """The newest incarnation of each gateway."""
    newest: dict[str, int] = {}
    for follower in followers:
        newest[follower.gateway] = max(newest.get(follower.gateway, 0), follower.incarnation)
    return newest


# ---- What several servers know


def _later(one: Confirmation, other: Confirmation) -> Confirmation:
    """The join of two servers' words on one run."""
    follower = max(one.follower, other.follower, key=lambda item: (item.incarnation, item.region, item.zone))
    return Confirmation(
        follower,
        max(one.in_force, other.in_force),
        min(one.silent_ms, other.silent_ms),
        one.left or other.left,
    )


@dataclass(frozen=True, slots=True)
class Answered:
    """One server's word: the revision that stands there, and whether it knows all that it should."""

    standing: int
    complete: bool


@dataclass(frozen=True)
class View:
    """What servers said, merged. Equal whatever the order, the grouping and the repetitions of merging."""

    servers: Mapping[str, Answered] = field(default_factory=dict)
    runs: Mapping[RunKey, Confirmation] = field(default_factory=dict)

    @classmethod
    def of(cls, status: ServerStatus) -> View:
        """One server's word."""
        runs: dict[RunKey, Confirmation] = {}
        for confirmation in status.confirmations:
            known = runs.get(key_of(confirmation.follower))
            runs[key_of(confirmation.follower)] = _later(known, confirmation) if known else confirmation
        return cls({status.server: Answered(status.standing, status.complete)}, runs)

    @classmethod
    def of_all(cls, statuses: Iterable[ServerStatus]) -> View:
        """The words of several servers."""
        view = cls()
        for status in statuses:
            view = view.merge(cls.of(status))
        return view

    def merge(self, other: View) -> View:
        """Both, joined."""
        servers = dict(self.servers)
        for name, answered in other.servers.items():
            known = servers.get(name, answered)
            servers[name] = Answered(
                max(known.standing, answered.standing), known.complete and answered.complete
            )
        runs = dict(self.runs)
        for key, confirmation in other.runs.items():
            runs[key] = _later(runs[key], confirmation) if key in runs else confirmation
        return View(servers, runs)

    @property
    def standing(self) -> int:
        """The newest revision that a server said to stand."""
        return max((answered.standing for answered in self.servers.values()), default=0)


@dataclass(frozen=True, slots=True)
class RegionProgress:
    """In a region a revision, or a later one, is in force at ``in_force`` of ``runs`` runs."""

    region: str
    in_force: int
    runs: int


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a revision has come. ``behind``: the runs that have not confirmed it, cut off or not."""

    revision: int
    published: bool
    everywhere: bool
    regions: tuple[RegionProgress, ...]
    behind: tuple[Confirmation, ...]
    cut_off: tuple[Confirmation, ...]  # of those behind: silent, and serving what they confirmed or later
    servers_counted: int
    servers_needed: int


def enough_servers(servers: int, copies: int) -> int:
    """How many of the control servers know every run that was told to ``copies`` of them."""
    return servers - copies + 1


def gone(confirmation: Confirmation, newest: Mapping[str, int], gone_after_ms: float) -> bool:
    """Whether a run serves no more: it said so, or was replaced and has been silent for long."""
    replaced = confirmation.follower.incarnation < newest[confirmation.follower.gateway]
    return confirmation.left or (replaced and confirmation.silent_ms > gone_after_ms)


def serving(view: View, gone_after_ms: float = GONE_AFTER_MS) -> tuple[Confirmation, ...]:
    """The runs that serve, or may, in a stable order."""
    newest = _newest(run.follower for run in view.runs.values())
    return tuple(run for _, run in sorted(view.runs.items()) if not gone(run, newest, gone_after_ms))


def progress(
    view: View,
    revision: int,
    servers: int,
    copies: int,
    cut_off_after_ms: float = CUT_OFF_AFTER_MS,
    gone_after_ms: float = GONE_AFTER_MS,
) -> Progress:
    """How far a revision has come, of ``servers`` control servers that keep ``copies`` of each run."""
    runs = serving(view, gone_after_ms)
    behind = tuple(run for run in runs if run.in_force < revision)
    cut_off = tuple(run for run in behind if run.silent_ms > cut_off_after_ms)
    counted = sum(answered.complete and answered.standing >= revision for answered in view.servers.values())
    needed = enough_servers(servers, copies)
    regions = []
    for region in sorted({run.follower.region for run in runs}):
        here = [run for run in runs if run.follower.region == region]
        done = sum(run.in_force >= revision for run in here)
        regions.append(RegionProgress(region, done, len(here)))
    published = view.standing >= revision
    everywhere = published and counted >= needed and not behind
    return Progress(revision, published, everywhere, tuple(regions), behind, cut_off, counted, needed)
