"""A round of Paxos in one register over passive stores, and what comes of it. Pure.

``Round`` says what to ask of whom; it is told what each store answered, or that nothing came, and ends in
one ``Result``. A change is a function from the value that stands to the next one, or to None where there is
nothing to change: then what stands is settled, and the round was a read.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.members import Member, Members
from brackenloft.fleet.registers.model import (
    MOST_VALUE,
    NONE,
    Accept,
    Accepted,
    Ask,
    Ballot,
    Held,
    NonsenseError,
    Prepare,
    Promise,
    Refused,
    Reply,
    Slot,
    Void,
)

Change = Callable[[Held | None], bytes | None]


class End(Enum):
    """How a round ended."""

    CHOSEN = "chosen"  # ``held`` stands, or stood at some moment within the round
    OUTBID = "outbid"  # another round is ahead; nothing of this one will ever stand
    ALONE = "alone"  # too few stores have a vote or answer; nothing of this one will ever stand
    UNSURE = "unsure"  # some took the value, too few said so: it may stand now, or later, or never
    NEWER = "newer members"  # ``members`` are to be asked; nothing of this one will ever stand


@dataclass(frozen=True, slots=True)
class Lead:
    """What the last round left promised: the next one of the same leader begins with its second phase."""

    ballot: Ballot
    held: Held | None
    epoch: int


@dataclass(frozen=True, slots=True)
class Result:
    """What came of a round. ``changed``: its own value was proposed; else what stood was settled."""

    end: End
    held: Held | None = None
    changed: bool = False
    highest: Ballot = NONE  # seen at any store: the next round has to be above it
    members: Members | None = None
    lead: Lead | None = None


class Round:
    """One round. ``ask`` is what every store in ``to`` is to be asked now."""

    def __init__(
        self,
        members: Members,
        ballot: Ballot,
        op: str,
        change: Change,
        lead: Lead | None = None,
    ) -> None:
        self.members, self.ballot, self.op, self.change = members, ballot, op, change
        self.to = members.all()
        self.result: Result | None = None
        self.highest = ballot
        self.newer: Members | None = None
        self.changed = False
        self.ask: Ask
        # What a lead remembers may have been overtaken: good to build on, as the stores refuse what is late,
        # but it answers no read.
        if lead and lead.epoch == members.epoch and (data := change(lead.held)) is not None:
            self.ballot = lead.ballot
            self._put(lead.held, data)
        else:
            self._phase(Prepare(ballot))

    def _phase(self, ask: Ask) -> None:
        self.ask = ask
        self.yes: dict[Member, Slot] = {}
        self.no: set[Member] = set()  # told that it took no part
        self.silent: set[Member] = set()

    def heard(self, member: Member, reply: Reply | None) -> bool:
        """What a store came back with for ``ask``, None for nothing; whether there is another ``ask`` now."""
        before = self.ask
        if self.result or member not in self.to or member in self.yes:
            return False
        if isinstance(reply, Promise):
            self.yes[member] = reply.slot
            self.highest = max(self.highest, reply.slot.promised)
        elif isinstance(reply, Accepted):
            self.yes[member] = Slot()
        elif reply is None:
            self.silent.add(member)
        else:
            self.no.add(member)
            self._told_no(reply)
        if self.members.enough(self.yes):
            self._won()
        elif self.members.hopeless(self.no | self.silent) and self._known():
            self._lost()
        return self.result is None and self.ask is not before

    def _known(self) -> bool:
        """Guards against calling a value refused that is on its way to the last store."""
        return isinstance(self.ask, Prepare) or len(self.yes) + len(self.no | self.silent) == len(self.to)

    def _told_no(self, reply: Refused | Void) -> None:
        if isinstance(reply, Refused):
            self.highest = max(self.highest, reply.promised)
        elif reply.members:
            try:
                theirs = places.read(reply.members)
            except NonsenseError:
                return
            if self.newer is None or theirs.epoch > self.newer.epoch:
                self.newer = theirs

    def _won(self) -> None:
        if isinstance(self.ask, Accept):
            lead = Lead(self.ask.then, self.ask.held, self.members.epoch)
            self._end(End.CHOSEN, self.ask.held, lead)
            return
        latest = max(self.yes.values(), key=lambda slot: slot.accepted)
        same = all(slot.accepted == latest.accepted for slot in self.yes.values())
        self._propose(latest.held, settled=same)

    def _propose(self, held: Held | None, settled: bool) -> None:
        """Guards against a read of what only some have taken: what stands is settled by all the same."""
        data = self.change(held)
        if data is None and settled:
            self._end(End.CHOSEN, held, None)
            return
        self._put(held, data)

    def _put(self, held: Held | None, data: bytes | None) -> None:
        """The second phase, with a new value or what stands."""
        if data is not None:
            if len(data) > MOST_VALUE:
                raise ValueError(f"a value of {len(data)} bytes, {MOST_VALUE} at most")
            self.changed = True
            held = Held((held.version if held else 0) + 1, self.op, data)
        self._phase(Accept(self.ballot, held, Ballot(self.ballot.number + 1, self.ballot.who)))

    def _lost(self) -> None:
        if isinstance(self.ask, Accept) and (self.yes or self.silent):
            self._end(End.UNSURE)  # who was silent may have taken it
        elif self.newer:
            self._end(End.NEWER)
        else:
            self._end(End.OUTBID if self.highest > self.ballot else End.ALONE)

    def _end(self, end: End, held: Held | None = None, lead: Lead | None = None) -> None:
        self.result = Result(end, held, self.changed, self.highest, self.newer, lead)


def settled(members: Members, seen: dict[Member, Slot]) -> tuple[bool, Held | None]:
    """Whether slots that were merely looked at tell what stands, and what it is.

    They do where enough of them took their value in the same round: it was chosen then, and none was chosen
    after it before they were looked at, or one of them would have it. Where one has a later value that may
    yet come to stand, it is not told: guards against a last sign of a holder that comes to light only when
    its lease is to be taken, and is waited for all over again.
    """
    last = max((slot.accepted for slot in seen.values()), default=NONE)
    those = [member for member, slot in seen.items() if slot.accepted == last]
    return (True, seen[those[0]].held) if members.enough(those) else (False, None)
