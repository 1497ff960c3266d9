"""The register of what stands, over three stores on loopback that fail."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest
from fakes import run

from brackenloft.configuration.model import Standing
from brackenloft.configuration.publishing import NotSwapped, Overtaken, Swapped, SwapUnknown
from brackenloft.configuration.server_config import ServerConfig
from brackenloft.configuration.standing_register import (
    NOTHING_STANDS,
    REGISTER,
    FleetRegister,
    RegisterUnavailable,
    decode,
)
from brackenloft.fleet.config import Place
from brackenloft.fleet.registers import enrol
from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.members import Members
from brackenloft.fleet.registers.registers import Registers
from brackenloft.fleet.registers.store import Store
from brackenloft.standins.counter import Counter, Mood

ONE, TWO = Standing(1, bytes(16)), Standing(2, bytes(range(16)))


@asynccontextmanager
async def stores(set_up=True):
    """Three stores, and what a control server's file says of them."""
    counters = [await Counter().start() for _ in range(3)]
    urls = {f"s{n}": f"redis://127.0.0.1:{counter.port}" for n, counter in enumerate(counters)}
    registers = Registers({n: Store(url, "fleet", 1.0) for n, url in urls.items()}, Members(0, 0, ()), "test")
    try:
        if set_up:
            await enrol.found(registers, places.first(urls, 0, "a"))
        listed = tuple(Place(name, url) for name, url in urls.items())
        config = ServerConfig(name="c0", region="north", data="x", stores=listed, timeout_ms=200.0)
        yield counters, config, registers
    finally:
        await registers.close()
        for counter in counters:
            counter.kill()


def test_one_of_two_that_cross_wins_and_the_other_is_told_what_stands():
    async def test():
        async with stores() as (_, config, _):
            first, second = FleetRegister(config), FleetRegister(config)
            assert await first.read() == NOTHING_STANDS
            found = await asyncio.gather(
                first.swap(NOTHING_STANDS, ONE), second.swap(NOTHING_STANDS, Standing(1, b"x" * 16))
            )
            stands = await second.read()
            assert sorted(map(type, found), key=str) == sorted([Swapped, Overtaken], key=str)
            (lost,) = [each for each in found if isinstance(each, Overtaken)]
            assert lost.standing == stands == await first.read()
            assert await second.swap(stands, TWO) == Swapped()
            assert await first.read() == TWO
            assert await first.swap(stands, TWO) == Overtaken(TWO)
            await first.close()
            await second.close()

    run(test())


def test_one_store_may_fail_and_two_may_not():
    async def test():
        async with stores() as (counters, config, _):
            register = FleetRegister(config)
            assert await register.swap(NOTHING_STANDS, ONE) == Swapped()
            counters[0].store.mood = Mood.SILENT
            assert await register.read() == ONE
            assert await register.swap(ONE, TWO) == Swapped()
            counters[1].store.mood = Mood.SILENT
            with pytest.raises(RegisterUnavailable, match="too few stores"):
                await register.read()
            assert isinstance(await register.swap(TWO, Standing(3, bytes(16))), NotSwapped | SwapUnknown)
            counters[0].store.mood = counters[1].store.mood = Mood.WELL
            while True:
                try:
                    assert await register.read() in (TWO, Standing(3, bytes(16)))
                    break
                except RegisterUnavailable:  # a store that was silent is not tried again at once
                    await asyncio.sleep(0.05)
            await register.close()

    run(test())


def test_stores_that_were_not_set_up_are_told():
    async def test():
        async with stores(set_up=False) as (_, config, _):
            register = FleetRegister(config)
            with pytest.raises(RegisterUnavailable, match="brackenloft fleet init"):
                await register.read()
            assert isinstance(await register.swap(NOTHING_STANDS, ONE), NotSwapped)
            await register.close()

    run(test())


def test_a_value_that_no_control_server_writes_is_not_believed():
    async def test():
        async with stores() as (_, config, registers):
            await registers.change(REGISTER, lambda held: b"something else", 2.0)
            register = FleetRegister(config)
            with pytest.raises(RegisterUnavailable, match="holds no revision"):
                await register.read()
            assert isinstance(await register.swap(NOTHING_STANDS, ONE), NotSwapped)
            await register.close()

    run(test())


@pytest.mark.parametrize("value", [Standing(-1, bytes(16)), Standing(1, b"short"), 5, [1]])
def test_a_standing_that_can_not_be_is_refused(value):
    with pytest.raises(RegisterUnavailable):
        decode(msgspec.msgpack.encode(value))
