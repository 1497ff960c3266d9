"""Stores on loopback and processes' views of their leases, by a clock that a test moves."""

from contextlib import asynccontextmanager

from brackenloft.fleet.leases.lease import Leases
from brackenloft.fleet.leases.model import Me
from brackenloft.fleet.leases.terms import Terms
from brackenloft.fleet.registers import enrol
from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.registers import Registers
from brackenloft.fleet.registers.store import Store
from brackenloft.standins.counter import Counter

ME, OTHER = Me("0-a", 0), Me("1-b", 1)


class Clock:
    """Milliseconds that a test moves."""

    def __init__(self):
        self.ms = 1000.0

    def __call__(self):
        return self.ms


@asynccontextmanager
async def fleet(*mes, length_ms=60_000.0):
    counters = [await Counter().start() for _ in range(3)]
    clock, open_ = Clock(), []

    def registers(who):
        stores = {
            f"s{number}": Store(f"redis://127.0.0.1:{counter.port}", "fleet", 1.0)
            for number, counter in enumerate(counters)
        }
        open_.append(Registers(stores, places.first(stores, 1000, "a"), who, seed=1))
        return open_[-1]

    await enrol.found(registers("operator"), open_[0].members)
    try:
        yield [Leases(registers(me.who), me, Terms(length_ms, 0.01), clock) for me in mes], clock, counters
    finally:
        for each in open_:
            await each.close()
        for counter in counters:
            counter.kill()
