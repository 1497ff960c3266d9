"""Which stores keep the registers, and when enough of them have answered. Pure.

Members change in two steps: for a while both the old and the new stores have to agree (``old`` is not
empty), then the new ones alone. Each step is an ``epoch``; a store that knows a later one voids what is asked
under an earlier one.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec

from brackenloft.fleet.registers.model import NonsenseError, Why

MOST_STORES = 7
MOST_TEXT = 4096
STORE_NAME = re.compile(r"[0-9a-z][0-9a-z-]{0,31}")
IDENTITY = re.compile(r"[0-9a-z-]{1,48}")
SELF = re.compile(rb"1 ([0-9a-z-]{1,48}) ([0-9a-z:]{1,128})")


class Member(msgspec.Struct, frozen=True, order=True):
    """One store. ``identity`` is new each time that the name's place is given to a blank one."""

    name: str
    identity: str


class Members(msgspec.Struct, frozen=True):
    """The stores of an epoch. ``floor``: tokens of leases whose register is empty begin above it."""

    epoch: int
    floor: int
    stores: tuple[Member, ...]
    old: tuple[Member, ...] = ()
    form: int = 1

    def all(self) -> tuple[Member, ...]:
        """Old and new ones, each once."""
        return tuple(dict.fromkeys((*self.stores, *self.old)))

    def enough(self, answered: Collection[Member]) -> bool:
        """Whether a majority has answered; while members change, one of the old and one of the new."""
        return _majority(self.stores, answered) and (not self.old or _majority(self.old, answered))

    def hopeless(self, without: Collection[Member]) -> bool:
        """Whether the others can't be enough any more."""
        return not self.enough([member for member in self.all() if member not in without])


def _majority(stores: Collection[Member], answered: Collection[Member]) -> bool:
    return 2 * sum(member in answered for member in stores) > len(stores)


def check(members: Members) -> Members:
    """ValueError unless these can be."""
    for group in (members.stores, members.old):
        if len({member.name for member in group}) != len(group) or len(group) > MOST_STORES:
            raise ValueError("stores: a name twice, or too many")
    if not members.stores or members.epoch < 1 or members.floor < 0:
        raise ValueError("stores, epoch, floor: not above nought")
    for member in members.all():
        if not STORE_NAME.fullmatch(member.name) or not IDENTITY.fullmatch(member.identity):
            raise ValueError(f"a store's name or identity: {member.name!r:.40}")
    return members


def write(members: Members) -> bytes:
    """As stores keep it."""
    return msgspec.json.encode(members)


def read(text: bytes) -> Members:
    """From a store, checked."""
    if len(text) > MOST_TEXT:
        raise NonsenseError(f"members of {len(text)} bytes")
    try:
        found = check(msgspec.json.decode(text, type=Members))
    except (msgspec.DecodeError, ValueError) as error:
        raise NonsenseError(f"no members: {error}") from None
    if found.form != 1:
        raise NonsenseError(f"members of form {found.form}: written by a newer program")
    return found


def first(names: Iterable[str], floor: int, nonce: str) -> Members:
    """Those of a new installation."""
    return check(Members(1, floor, tuple(Member(name, f"{name}-{nonce}") for name in names)))


def joining(now: Members, leaves: str, comes: str, nonce: str) -> Members:
    """The step in which old and new agree, as ``comes`` takes the place of ``leaves`` (maybe its own)."""
    if now.old:
        raise ValueError("a store is being replaced already")
    if leaves not in {member.name for member in now.stores}:
        raise ValueError(f"there is no store {leaves!r}")
    new = tuple(
        Member(comes, f"{comes}-{nonce}") if member.name == leaves else member for member in now.stores
    )
    return check(Members(now.epoch + 1, now.floor, new, now.stores))


def joined(now: Members) -> Members:
    """The step after it: the new ones alone."""
    if not now.old:
        raise ValueError("no store is being replaced")
    return Members(now.epoch + 1, now.floor, now.stores)


@dataclass(frozen=True, slots=True)
class Running:
    """What a store says of its own process: INFO's ``run_id`` and ``master_replid``."""

    run: str
    data: str

    def text(self) -> str:
        """As it stands beside the identity."""
        return f"{self.run}:{self.data}"


def write_self(member: Member, running: Running) -> bytes:
    """A store's identity as it keeps it itself: who it is, and which process of it was enrolled."""
    return f"1 {member.identity} {running.text()}".encode()


def judge(
    member: Member,
    running: Running | None,
    own: bytes | None,
    known: bytes | None,
    mine: Members,
) -> tuple[Why | None, Members | None]:
    """Whether a store has a vote under ``mine``: why not, and the members that it knows.

    Guards against a store that came back blank, or older than it was: its process is not the one that was
    enrolled, whatever it holds. ``running`` is None for stores that are trusted to keep what they answered
    over a restart.
    """
    if own is None or known is None:
        return Why.BLANK, None
    match = SELF.fullmatch(own)
    if not match:
        return Why.NONSENSE, None
    if match[1].decode() != member.identity:
        return Why.FOREIGN, None
    if running is not None and match[2].decode() != running.text():
        return Why.RESTARTED, None
    try:
        theirs = read(known)
    except NonsenseError:
        return Why.NONSENSE, None
    return (Why.NEWER if theirs.epoch > mine.epoch else None), theirs
