"""What a store keeps of a register, what it is asked and what it answers. Pure.

A store is passive: it keeps one *slot* for each register, which a gateway reads and replaces in one
transaction. ``answer`` is what an acceptor of Paxos does, worked out by the gateway that asks.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

FORM = b"1"  # of a slot; another one was written by a newer program
MOST_VALUE = 16 * 1024  # bytes of a value: it is read whole by every gateway, several times a lease
MOST_SLOT = MOST_VALUE + 512  # with its head
NAME = re.compile(r"[0-9a-z_][0-9a-z._:-]{0,127}")
WHO = re.compile(r"[0-9a-z.-]{1,64}")
SLOT = re.compile(
    rb"([0-9]{1,3}) ([0-9]{1,15}) ([0-9a-z.-]{1,64}) ([0-9]{1,15}) ([0-9a-z.-]{1,64}) ([0-9]{1,15}) "
    rb"([0-9a-z.-]{1,64})\n"
)
NOBODY = "-"
MEMBERS = "_members"  # the register of the stores themselves


class NonsenseError(ValueError):
    """A store holds what no gateway of ours writes."""


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """The number of a round. ``who``: the process that leads it, so that no two rounds have the same."""

    number: int
    who: str


NONE = Ballot(0, NOBODY)


@dataclass(frozen=True, slots=True)
class Held:
    """A register's value. ``version`` counts its changes; ``op`` names the one that made it."""

    version: int
    op: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Slot:
    """What one store keeps of one register."""

    promised: Ballot = NONE  # it takes part in no round below this
    accepted: Ballot = NONE  # the round whose value it took last
    held: Held | None = None


EMPTY = Slot()


@dataclass(frozen=True, slots=True)
class Prepare:
    """Take part in no round below ``ballot``, and tell what you have."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Accept:
    """Take this value. ``then``: promised at once for the leader's next round, which needs no first phase."""

    ballot: Ballot
    held: Held | None
    then: Ballot


Ask = Prepare | Accept


class Why(Enum):
    """Why a store has no vote now."""

    BLANK = "blank"  # it has no identity: never enrolled, or emptied
    FOREIGN = "another store"  # enrolled as another one
    RESTARTED = "restarted"  # another process than was enrolled: what it has may be older than what it said
    OLDER = "older than it was"
    NONSENSE = "nonsense"
    NEWER = "knows newer members"
    ERROR = "refuses"  # READONLY, LOADING, NOAUTH and the like


@dataclass(frozen=True, slots=True)
class Promise:
    """It promised, and had this."""

    slot: Slot


@dataclass(frozen=True, slots=True)
class Accepted:
    """It took the value."""


@dataclass(frozen=True, slots=True)
class Refused:
    """It takes part in a higher round."""

    promised: Ballot


@dataclass(frozen=True, slots=True)
class Void:
    """It has no vote; nothing was written."""

    why: Why
    members: bytes = b""  # those that it knows, where they are newer


Reply = Promise | Accepted | Refused | Void


def answer(slot: Slot, ask: Ask) -> tuple[Slot | None, Reply]:
    """What an acceptor with this slot does: its next slot (None: as it is) and what that means."""
    if isinstance(ask, Prepare):
        if ask.ballot <= slot.promised:
            return None, Refused(slot.promised)
        return Slot(ask.ballot, slot.accepted, slot.held), Promise(slot)
    if ask.ballot < slot.promised:
        return None, Refused(slot.promised)
    return Slot(max(ask.ballot, ask.then), ask.ballot, ask.held), Accepted()


def write(slot: Slot) -> bytes:
    """A slot as a store keeps it."""
    held = slot.held or Held(0, NOBODY, b"")
    head = (
        f"{slot.promised.number} {slot.promised.who} {slot.accepted.number} {slot.accepted.who} "
        f"{held.version} {held.op}\n"
    )
    return FORM + b" " + head.encode() + held.data


def read(text: bytes | None) -> Slot:
    """A slot from a store, checked; a register that it never heard of is an empty one."""
    if text is None:
        return EMPTY
    match = SLOT.match(text) if len(text) <= MOST_SLOT else None
    if not match or match[1] != FORM:
        raise NonsenseError(f"no slot: {len(text)} bytes, {text[:40]!r}")
    promised, accepted = Ballot(int(match[2]), match[3].decode()), Ballot(int(match[4]), match[5].decode())
    version, data = int(match[6]), text[match.end() :]
    if accepted > promised or (version == 0) != (match[7] == b"-") or (not version and data):
        raise NonsenseError(f"a slot that can't be: {text[:80]!r}")
    held = Held(version, match[7].decode(), data) if version else None
    return Slot(promised, accepted, held)
