"""Publishing one change, as a state machine without I/O: events in, actions out.

The coordinator reads the register, checks the base and the change, stores the record, has it stored by
enough peers, and only then replaces the register's value by compare-and-swap. The register alone decides,
so that a coordinator that dies between any two steps leaves the old revision standing or the new one, and
the content of whatever stands is held by ``copies`` control servers.

``TRANSITIONS`` names what each step takes. An event that a step doesn't take is late (a peer that answers
after enough others did) and changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from brackenloft.configuration.messages import (
    Conflict,
    Fault,
    Invalid,
    PublishAnswer,
    Published,
    PublishRequest,
    Unavailable,
)
from brackenloft.configuration.model import Record, Standing


class Step(Enum):
    """How far a publish has come."""

    READING = "reading what stands"
    VALIDATING = "validating the change"
    STORING = "storing the record here"
    REPLICATING = "waiting for copies"
    SWAPPING = "replacing the register's value"
    DONE = "done"


# ---- Events


@dataclass(frozen=True, slots=True)
class StandingRead:
    """What stands by a majority of stores, and this server holds its document."""

    standing: Standing


@dataclass(frozen=True, slots=True)
class StandingUnknown:
    """It could not be told what stands, or its document is not to be had here."""

    reason: str


@dataclass(frozen=True, slots=True)
class Prepared:
    """The change is valid; this is its record."""

    record: Record


@dataclass(frozen=True, slots=True)
class FaultsFound:
    """The change is not valid."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class StoredHere:
    """The record is on this server's disk."""


@dataclass(frozen=True, slots=True)
class NotStoredHere:
    """The record could not be written to this server's disk."""

    reason: str


@dataclass(frozen=True, slots=True)
class PeerStored:
    """The record is on a peer's disk."""

    peer: str


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """A peer refused the record or said nothing; ``standing``: the revision that it knows to stand."""

    peer: str
    reason: str
    standing: int = 0


@dataclass(frozen=True, slots=True)
class Swapped:
    """The register holds the new revision."""


@dataclass(frozen=True, slots=True)
class Overtaken:
    """The register held another value; ``retried``: an attempt before may have succeeded."""

    standing: Standing
    retried: bool = False


@dataclass(frozen=True, slots=True)
class NotSwapped:
    """Too few stores; the register was not changed, nor will be."""

    reason: str


@dataclass(frozen=True, slots=True)
class SwapUnknown:
    """Too few stores said whether they took the value; it may stand now, or later, or never."""

    reason: str


@dataclass(frozen=True, slots=True)
class Expired:
    """The time for this publish is over."""


Event: TypeAlias = (
    StandingRead
    | StandingUnknown
    | Prepared
    | FaultsFound
    | StoredHere
    | NotStoredHere
    | PeerStored
    | PeerFailed
    | Swapped
    | Overtaken
    | NotSwapped
    | SwapUnknown
    | Expired
)


# ---- Actions


@dataclass(frozen=True, slots=True)
class ReadStanding:
    """Read the register, and come to hold the document that stands."""


@dataclass(frozen=True, slots=True)
class Validate:
    """Check the change against the standing document, and work out the record."""

    request: PublishRequest


@dataclass(frozen=True, slots=True)
class StoreHere:
    """Write the record to this server's disk as a proposal."""

    record: Record


@dataclass(frozen=True, slots=True)
class Propose:
    """Have each of the peers store the record."""

    record: Record
    peers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CompareAndSwap:
    """Replace the register's value, if it is what is expected."""

    expected: Standing
    replacement: Standing


@dataclass(frozen=True, slots=True)
class Announce:
    """The record stands: put it into force here, and notify the peers."""

    record: Record


@dataclass(frozen=True, slots=True)
class Finish:
    """Answer the operator; nothing comes after it."""

    answer: PublishAnswer


Action: TypeAlias = ReadStanding | Validate | StoreHere | Propose | CompareAndSwap | Announce | Finish
Actions: TypeAlias = tuple[Action, ...]


class Publishing:
    """One publish by one coordinator. ``copies`` counts this server among those that have to store it."""

    def __init__(self, request: PublishRequest, peers: tuple[str, ...], copies: int) -> None:
        if not 1 <= copies <= len(peers) + 1:
            raise ValueError(f"copies: {copies} of {len(peers) + 1} servers")
        self.request, self.peers, self.copies = request, peers, copies
        self.step = Step.READING
        self.expected: Standing | None = None
        self.record: Record | None = None
        self.stored: set[str] = set()
        self.failed: dict[str, PeerFailed] = {}

    def start(self) -> Actions:
        """The first action."""
        return (ReadStanding(),)

    def handle(self, event: Event) -> Actions:
        """What follows from an event; nothing if the present step doesn't take it."""
        transition = TRANSITIONS.get((self.step, type(event)))
        return transition(self, event) if transition else ()

    def _finish(self, answer: PublishAnswer) -> Actions:
        self.step = Step.DONE
        return (Finish(answer),)

    def _refuse(self, reason: str) -> Actions:
        return self._finish(Unavailable(reason, may_stand=False))

    def _conflict(self, standing: int) -> Actions:
        return self._finish(Conflict(self.request.delta.base, standing))

    def _standing_read(self, event: StandingRead) -> Actions:
        if event.standing.revision != self.request.delta.base:
            return self._conflict(event.standing.revision)
        self.expected = event.standing
        self.step = Step.VALIDATING
        return (Validate(self.request),)

    def _prepared(self, event: Prepared) -> Actions:
        if event.record.revision != self.request.delta.base + 1:
            raise ValueError(f"a record of revision {event.record.revision} on {self.request.delta.base}")
        self.record = event.record
        self.step = Step.STORING
        return (StoreHere(event.record),)

    def _overtaken_before_swap(self, event: Overtaken) -> Actions:
        return self._conflict(event.standing.revision)

    def _faults_found(self, event: FaultsFound) -> Actions:
        return self._finish(Invalid(event.faults))

    def _stored_here(self, event: StoredHere) -> Actions:
        assert self.record
        self.step = Step.REPLICATING
        proposing: Actions = (Propose(self.record, self.peers),) if self.peers else ()
        return proposing + self._swap_when_replicated()

    def _peer_stored(self, event: PeerStored) -> Actions:
        if event.peer in self.peers:
            self.stored.add(event.peer)
        return self._swap_when_replicated()

    def _swap_when_replicated(self) -> Actions:
        if len(self.stored) + 1 < self.copies:
            return ()
        assert self.record and self.expected
        self.step = Step.SWAPPING
        return (CompareAndSwap(self.expected, Standing(self.record.revision, self.record.digest)),)

    def _peer_failed(self, event: PeerFailed) -> Actions:
        if event.standing > self.request.delta.base:
            return self._conflict(event.standing)
        if event.peer in self.peers and event.peer not in self.stored:
            self.failed[event.peer] = event
        possible = len(self.peers) - len(self.failed) + 1
        return () if possible >= self.copies else self._refuse(self._missing_copies())

    def _missing_copies(self) -> str:
        reasons = ", ".join(f"{peer} ({failure.reason})" for peer, failure in sorted(self.failed.items()))
        silent = sorted(set(self.peers) - self.stored - set(self.failed))
        return f"{len(self.stored) + 1} of {self.copies} copies stored; failed: {reasons or 'none'}" + (
            f"; no answer yet: {', '.join(silent)}" if silent else ""
        )

    def _swapped(self, event: Swapped) -> Actions:
        assert self.record
        published = Published(self.record.revision, self.record.digest)
        return Announce(self.record), *self._finish(published)

    def _overtaken(self, event: Overtaken) -> Actions:
        """Revisions grow one at a time, so that a value of ours can't be behind one of the same revision.

        Where an attempt before may have succeeded, a later revision may stand on ours, and the same one with
        our digest is ours.
        """
        assert self.record
        if event.retried and event.standing.revision > self.record.revision:
            return self._finish(
                Unavailable(f"revision {event.standing.revision} stands, maybe on this one", may_stand=True)
            )
        if event.retried and event.standing == Standing(self.record.revision, self.record.digest):
            return self._swapped(Swapped())
        return self._conflict(event.standing.revision)

    def _failed_before_swap(self, event: StandingUnknown | NotStoredHere | NotSwapped) -> Actions:
        return self._refuse(event.reason)

    def _swap_unknown(self, event: SwapUnknown) -> Actions:
        return self._finish(Unavailable(event.reason, may_stand=True))

    def _expired(self, event: Expired) -> Actions:
        if self.step is Step.REPLICATING:
            return self._refuse(self._missing_copies())
        return self._refuse(f"no time left while {self.step.value}")

    def _expired_while_swapping(self, event: Expired) -> Actions:
        return self._swap_unknown(SwapUnknown(f"no time left while {self.step.value}"))


TRANSITIONS: dict[tuple[Step, type], Callable[..., Actions]] = {
    (Step.READING, StandingRead): Publishing._standing_read,
    (Step.READING, StandingUnknown): Publishing._failed_before_swap,
    (Step.READING, Expired): Publishing._expired,
    (Step.VALIDATING, Prepared): Publishing._prepared,
    (Step.VALIDATING, FaultsFound): Publishing._faults_found,
    (Step.VALIDATING, Overtaken): Publishing._overtaken_before_swap,
    (Step.VALIDATING, Expired): Publishing._expired,
    (Step.STORING, StoredHere): Publishing._stored_here,
    (Step.STORING, NotStoredHere): Publishing._failed_before_swap,
    (Step.STORING, Expired): Publishing._expired,
    (Step.REPLICATING, PeerStored): Publishing._peer_stored,
    (Step.REPLICATING, PeerFailed): Publishing._peer_failed,
    (Step.REPLICATING, Expired): Publishing._expired,
    (Step.SWAPPING, Swapped): Publishing._swapped,
    (Step.SWAPPING, Overtaken): Publishing._overtaken,
    (Step.SWAPPING, NotSwapped): Publishing._failed_before_swap,
    (Step.SWAPPING, SwapUnknown): Publishing._swap_unknown,
    (Step.SWAPPING, Expired): Publishing._expired_while_swapping,
}
