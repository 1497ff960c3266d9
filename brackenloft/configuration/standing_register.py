"""The register that says which revision stands, over the stores of the fleet."""

from __future__ import annotations

import secrets
from typing import Any, Protocol, TypeAlias

import msgspec

from brackenloft.configuration.model import FIRST_REVISION, Standing
from brackenloft.configuration.publishing import NotSwapped, Overtaken, Swapped, SwapUnknown
from brackenloft.configuration.server_config import ServerConfig
from brackenloft.configuration.tree import DIGEST_BYTES, Tree
from brackenloft.fleet.registers.members import Members
from brackenloft.fleet.registers.registers import NoMajority, Registers, Unsure, known_members
from brackenloft.fleet.registers.store import Store

REGISTER = "configuration"
READ_WITHIN_S = 1.0
SWAP_WITHIN_S = 3.0
NO_INSTALLATION = Members(0, 0, ())
NOTHING_STANDS = Standing(FIRST_REVISION, Tree.empty().digest)

SwapResult: TypeAlias = Swapped | Overtaken | NotSwapped | SwapUnknown


class RegisterUnavailable(Exception):  # noqa: N818
    """It can't be told which revision stands."""


class StandingRegister(Protocol):
    """Which revision stands."""

    async def read(self) -> Standing:
        """What stood at some moment within the call; RegisterUnavailable if that can't be told."""

    async def swap(self, expected: Standing, replacement: Standing) -> SwapResult:
        """Replace the value if it is the expected one."""

    async def close(self) -> None:
        """Speak to no store any more."""


class FleetRegister:
    """A register of ``fleet.registers``; its value is a ``Standing`` as MessagePack."""

    def __init__(self, config: ServerConfig) -> None:
        stores = {
            place.name: Store(place.url, config.prefix, config.timeout_ms / 1000.0, place.durable)
            for place in config.stores
        }
        self._registers = Registers(stores, NO_INSTALLATION, f"control-{secrets.token_hex(8)}")

    async def read(self) -> Standing:
        await self._find_installation()
        try:
            held = await self._registers.read(REGISTER, READ_WITHIN_S)
        except NoMajority as error:
            raise RegisterUnavailable(self._trouble()) from error
        return decode(held.data if held else None)

    async def swap(self, expected: Standing, replacement: Standing) -> SwapResult:
        def change(held: Any) -> bytes | None:
            stands = decode(held.data if held else None)
            return msgspec.msgpack.encode(replacement) if stands == expected else None

        try:
            await self._find_installation()
            changed = await self._registers.change(REGISTER, change, SWAP_WITHIN_S)
            if changed.mine:
                return Swapped()
            return Overtaken(decode(changed.held.data if changed.held else None), changed.retried)
        except Unsure:
            return SwapUnknown(self._trouble())
        except (NoMajority, RegisterUnavailable) as error:
            return NotSwapped(f"{self._trouble()}: {error}")

    async def close(self) -> None:
        await self._registers.close()

    async def _find_installation(self) -> None:
        if self._registers.members.epoch:
            return
        members = await known_members(self._registers.stores)
        if members is None:
            raise RegisterUnavailable("no store tells of an installation: brackenloft fleet init, once")
        self._registers.adopt(members)

    def _trouble(self) -> str:
        stores = self._registers.stores
        reasons = ", ".join(f"{name} ({store.why})" for name, store in stores.items() if store.why)
        return f"too few stores answer: {reasons or 'no reason told'}"


def decode(data: bytes | None) -> Standing:
    """A register's value; RegisterUnavailable if it is none that a control server writes."""
    if data is None:
        return NOTHING_STANDS
    try:
        standing = msgspec.msgpack.decode(data, type=Standing)
    except msgspec.MsgspecError as error:
        raise RegisterUnavailable(f"the register holds no revision: {error}") from error
    if standing.revision < FIRST_REVISION or len(standing.digest) != DIGEST_BYTES:
        raise RegisterUnavailable(f"the register holds no revision: {standing!r:.100}")
    return standing
