"""A lease as its register has it, and every change that may be made to it. Pure.

Each function takes what stands and gives what is to stand, or None where that change is out of place. No
time is in a lease: clocks are not compared between machines. Whoever looks counts from when *it* saw a
version first, and the holder from before it asked for it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import msgspec

from brackenloft.fleet.registers.model import Held, NonsenseError

FORM = 1
NAME = re.compile(r"[0-9a-z][0-9a-z._-]{0,63}")
MOST_CHECKPOINT = 4096  # characters
MOST_REASON = 200
MOST_LOST = 3  # holders lost in a row within a run and not heard of again: the task kills them
ANYBODY = -1
LEAST_MS, MOST_MS = 100.0, 600_000.0  # a lease's length: above a round's time, below what people wait


class Lease(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who holds it, and what is known of what is done under it."""

    token: int  # grows with each holder; effects carry it
    beat: int = 0  # grows with each change that its holder makes: what others count from
    holder: str = ""  # the process that holds it; nobody's where it is empty
    index: int = ANYBODY  # its gateway
    length_ms: float = 5000.0
    run: int = 0  # the run that has begun and not ended, 0 for none
    runs: int = 0  # that have begun so far
    lost: tuple[str, ...] = ()  # holders that were lost within a run, in a row, and not heard of since
    failures: int = 0  # runs that failed, in a row
    paused: str = ""  # why nobody may run it
    poison: bool = False  # that is because of the lost ones: it ends if one of them lives
    next: int = ANYBODY  # the gateway that is to have it: wants it, or is handed it
    leave: bool = False  # an operator wants the holder to hand it on
    checkpoint: str = ""
    form: int = FORM


@dataclass(frozen=True, slots=True)
class Me:
    """Who acts: a process and its gateway."""

    who: str
    index: int


def read(held: Held | None) -> Lease | None:
    """From a register, checked; None where there was never one."""
    if held is None:
        return None
    try:
        lease = msgspec.json.decode(held.data, type=Lease)
    except msgspec.DecodeError as error:
        raise NonsenseError(f"no lease: {error}") from None
    if lease.form != FORM:
        raise NonsenseError(f"a lease of form {lease.form}: written by a newer program")
    if lease.token < 0 or not LEAST_MS <= lease.length_ms <= MOST_MS:
        raise NonsenseError("a lease that can't be")
    return lease


def write(lease: Lease) -> bytes:
    """For a register."""
    return msgspec.json.encode(lease)


def _mine(lease: Lease | None, me: Me, token: int) -> bool:
    return lease is not None and lease.holder == me.who and lease.token == token


def stands(lease: Lease | None) -> tuple[int, int, str]:
    """What others count from: while it is the same, its holder has given no sign."""
    return (lease.token, lease.beat, lease.holder) if lease else (-1, 0, "")


def take(lease: Lease | None, me: Me, length_ms: float, floor: int) -> Lease:
    """It is ours. Who calls this has seen that it may be: free, or not renewed for its length and more."""
    before = lease or Lease(floor)
    lost, paused, poison = before.lost, before.paused, before.poison
    if before.holder and before.run and before.holder not in lost:
        lost = (*lost, before.holder)[-MOST_LOST:]
    if len(lost) >= MOST_LOST and not paused:
        paused, poison = f"{len(lost)} holders in a row were lost within run {before.run}", True
    return msgspec.structs.replace(
        before,
        token=max(before.token, floor) + 1,
        beat=0,
        holder=me.who,
        index=me.index,
        run=0,
        length_ms=length_ms,
        lost=lost,
        paused=paused,
        poison=poison,
        next=ANYBODY,
        leave=False,
    )


def lives(lease: Lease | None, me: Me) -> Lease | None:
    """We were lost within a run, to a cut or a stop, and live: it was not the task."""
    if lease is None or me.who not in lease.lost:
        return None
    lost = tuple(who for who in lease.lost if who != me.who)
    paused = "" if lease.poison else lease.paused
    return msgspec.structs.replace(lease, lost=lost, paused=paused, poison=False)


def beats(lease: Lease) -> Lease:
    """A sign that its holder lives; changes of others give none."""
    return msgspec.structs.replace(lease, beat=lease.beat + 1)


def renew(lease: Lease | None, me: Me, token: int) -> Lease | None:
    """It stays ours."""
    return lease if _mine(lease, me, token) else None


def begin(lease: Lease | None, me: Me, token: int) -> Lease | None:
    """A run begins: from now on, a holder that is lost was lost within it."""
    if lease is None or not _mine(lease, me, token) or lease.paused:
        return None
    return msgspec.structs.replace(lease, run=lease.runs + 1, runs=lease.runs + 1)


def save(lease: Lease | None, me: Me, token: int, checkpoint: str) -> Lease | None:
    """How far the run has come."""
    if lease is None or not _mine(lease, me, token):
        return None
    if len(checkpoint) > MOST_CHECKPOINT:
        raise ValueError(f"a checkpoint of {len(checkpoint)} characters, {MOST_CHECKPOINT} at most")
    return msgspec.structs.replace(lease, checkpoint=checkpoint)


def end(lease: Lease | None, me: Me, token: int, good: bool, checkpoint: str) -> Lease | None:
    """The run has ended. Only one that was good clears what is held against the task."""
    if lease is None or not _mine(lease, me, token) or len(checkpoint) > MOST_CHECKPOINT:
        return None
    return msgspec.structs.replace(
        lease,
        run=0,
        lost=() if good else lease.lost,
        failures=0 if good else lease.failures + 1,
        checkpoint=checkpoint,
    )


def release(lease: Lease | None, me: Me, token: int, to: int = ANYBODY) -> Lease | None:
    """It is nobody's; ``to`` may take it before others."""
    if lease is None or not _mine(lease, me, token):
        return None
    return msgspec.structs.replace(lease, holder="", index=ANYBODY, run=0, next=to, leave=False)


def want(lease: Lease | None, me: Me) -> Lease | None:
    """Ask its holder to hand it on to us."""
    if lease is None or not lease.holder or lease.holder == me.who or lease.next != ANYBODY:
        return None
    return msgspec.structs.replace(lease, next=me.index)


def pause(lease: Lease | None, reason: str, floor: int) -> Lease | None:
    """Nobody may begin a run; the holder stays."""
    return msgspec.structs.replace(
        lease or Lease(floor), poison=False, paused=reason[:MOST_REASON] or "by an operator"
    )


def resume(lease: Lease | None) -> Lease | None:
    """Runs may begin again; what was held against it is forgotten."""
    if lease is None or not lease.paused:
        return None
    return msgspec.structs.replace(lease, paused="", poison=False, lost=(), failures=0)


def send_away(lease: Lease | None) -> Lease | None:
    """An operator wants the holder to hand it on."""
    if lease is None or not lease.holder or lease.leave:
        return None
    return msgspec.structs.replace(lease, leave=True)
