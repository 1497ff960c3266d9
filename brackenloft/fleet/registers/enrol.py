"""Stores set up, replaced one at a time, and taken back: what the operators' commands do.

Replacing is a change of members in five steps, each of which may be repeated, so that who runs the command
again after a failure goes on where it stopped:

1. the register ``_members`` says that old and new have to agree (decided by the old ones alone);
2. enough of the old and of the new know it: from then on nothing is decided by the old ones alone;
3. each register is settled among old and new;
4. ``_members`` says that the new ones decide alone;
5. all that can be reached know it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import NoReturn

from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.members import Member, Members
from brackenloft.fleet.registers.model import MEMBERS, Held, NonsenseError
from brackenloft.fleet.registers.registers import Registers
from brackenloft.fleet.registers.rounds import Change
from brackenloft.fleet.registers.store import Lost


class EnrolError(RuntimeError):
    """It can't be done now; nothing that matters was changed, and the command may be given again."""


def _stop(why: str) -> NoReturn:
    raise EnrolError(why)


async def found(registers: Registers, members: Members, force: bool = False) -> None:
    """Set up a new installation: every store has to be there, and blank unless ``force``."""
    for member in members.stores:
        store = registers.stores[member.name]
        try:
            own, known, _ = await store.own()
        except Lost as error:
            _stop(f"{member.name} can't be reached: {error}")
        if (own or known) and not force:
            _stop(f"{member.name} belongs to an installation already")
    for member in members.stores:
        try:
            await registers.stores[member.name].enrol(member, members, fresh=True)
        except Lost as error:
            _stop(f"{member.name}: {error}")
    registers.members = members
    await registers.change(MEMBERS, lambda held: places.write(members), 10.0)


async def replace(
    registers: Registers,
    leaves: str,
    comes: str,
    nonce: str,
    within_s: float,
    told: Callable[[str], None] = lambda line: None,
) -> Members:
    """Let ``comes`` take the place of ``leaves``: another store, or the same one blank or doubted."""

    def join(held: Held | None) -> bytes | None:
        now = places.read(held.data) if held else registers.members
        if now.old:
            if comes in {member.name for member in now.stores if member not in now.old}:
                return None  # begun before: it goes on
            _stop("another store is being replaced: that comes first")
        try:
            return places.write(places.joining(now, leaves, comes, nonce))
        except ValueError as error:
            _stop(str(error))

    if comes not in registers.stores:
        _stop(f"there is no address for {comes!r}")
    try:
        await registers.stores[comes].own()
    except Lost as error:
        _stop(f"{comes} can't be reached: {error}")
    both = await _decide(registers, join, within_s)
    told(f"epoch {both.epoch}: old and new have to agree")
    if not both.old:  # an earlier command of the same kind has come to its end meanwhile
        await _spread(registers, both, None)
        registers.adopt(both)
        return both
    newcomer = next(member for member in both.stores if member not in both.old)
    await _spread(registers, both, newcomer)
    registers.adopt(both)
    names = await _names(registers, both)
    for name in names:
        await registers.change(name, lambda held: None, within_s)
    told(f"{len(names)} registers settled among {len(both.all())} stores")

    def end(held: Held | None) -> bytes | None:
        now = places.read(held.data) if held else both
        return places.write(places.joined(now)) if now.epoch == both.epoch else None

    alone = await _decide(registers, end, within_s)
    await _spread(registers, alone, None)
    registers.adopt(alone)
    told(f"epoch {alone.epoch}: {', '.join(member.identity for member in alone.stores)}")
    return alone


async def _decide(registers: Registers, change: Change, within_s: float) -> Members:
    """Change the register of members; what stands then."""
    try:
        held = (await registers.change(MEMBERS, change, within_s)).held
        if held is None:
            _stop("there is no installation")
        return places.read(held.data)
    except NonsenseError as error:
        _stop(str(error))


async def _spread(registers: Registers, members: Members, newcomer: Member | None) -> None:
    """Tell members to all stores concerned; enough of the old and of the new have to hear it.

    The newcomer, whose content is left behind, comes after a majority of the old ones without it. Guards
    against taking a vote away that the old ones need while another of them is gone.
    """
    heard: list[Member] = []

    async def tell(member: Member) -> None:
        store = registers.stores.get(member.name)
        if store is None:
            return
        try:
            own, known, running = await store.own()
            why, _ = places.judge(member, None if store.durable else running, own, known, members)
            if member == newcomer and why is not None:
                await store.enrol(member, members, fresh=True)
            elif why is None:
                await store.enrol(member, members, fresh=False)
            else:
                return
            heard.append(member)
        except Lost:
            return

    await asyncio.gather(*(tell(member) for member in members.all() if member != newcomer))
    if newcomer:
        without = [member for member in heard if member.name != newcomer.name]
        if 2 * sum(member in without for member in members.old) <= len(members.old):
            _stop(
                f"too few of the other stores heard of epoch {members.epoch}: {_said(without)}; "
                "give the command again"
            )
        await tell(newcomer)
    if not members.enough(heard):
        _stop(f"too few stores heard of epoch {members.epoch}: {_said(heard)}; give the command again")


async def _names(registers: Registers, members: Members) -> list[str]:
    """All registers that any majority of the old ones knows."""
    found: set[str] = set()
    heard: list[Member] = []
    for member in members.old:
        store = registers.stores.get(member.name)
        if store is None:
            continue
        try:
            own, known, running = await store.own()
            if places.judge(member, None if store.durable else running, own, known, members)[0] is None:
                found.update(await store.names())
                heard.append(member)
        except Lost:
            continue
    if 2 * len(heard) <= len(members.old):
        _stop(f"too few of the old stores told their registers: {_said(heard)}; give the command again")
    return sorted(found | {MEMBERS})


def _said(members: Collection[Member]) -> str:
    return ", ".join(member.name for member in members) or "none"
