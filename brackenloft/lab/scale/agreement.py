"""Slopes of what gateways share: trips to the register stores by gateways, and the shared counter's work."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

import hiredis

from brackenloft.lab.fleet import virtual
from brackenloft.lab.scale.measuring import exact, held_bytes, point, repeated_ms, slope
from brackenloft.lab.scale.slopes import Slope
from brackenloft.quota.model import Figures, Run, beats_of
from brackenloft.standins.counter import Session, Store

GATEWAYS = (50, 100, 200, 570)
SECONDS, ALL_AT_S = 30.0, 10.0
CUSTOMERS = (10, 100, 500)  # of one report: quota.core.MOST_ROWS is the last
FIELDS = (2, 20, 200, 570)  # runs of gateways in a customer's hash, and in that of beats


def lease_slopes(gateways: Iterable[int] = GATEWAYS) -> list[Slope]:
    """Ten tasks: trips a second at each store, at rest and in the second after all gateways start anew."""
    rest, worst = [], []
    for size in gateways:
        fleet = virtual.Fleet(virtual.Plan(gateways=size, seconds=SECONDS), 1).run()
        rest.append(exact(size, virtual.figures(fleet)["trips_s"]))
        storm = virtual.Fleet(virtual.Plan(gateways=size, seconds=SECONDS, all_at=ALL_AT_S), 2).run()
        worst.append(exact(size, virtual.figures(storm)["trips_s_worst"]))
    return [
        slope(
            "lease_trips_s", "trips to each store for ten tasks, mean (virtual time)", "gateways", "1/s", rest
        ),
        slope(
            "lease_trips_worst_s",
            "the same, worst second when all gateways start anew (virtual time)",
            "gateways",
            "1/s",
            worst,
        ),
    ]


def _field(gateway: int) -> bytes:
    return Run(gateway, f"{gateway:016x}").field()


def _customer(number: int) -> bytes:
    return f"quota:c:plan:{number:016x}".encode()


def _report(store: Store, customers: int, gateway: int) -> None:
    """The commands of one report (quota.client), run by the store without its sockets."""
    store.run([b"SET", b"quota:epoch", b"e", b"NX"])
    store.run([b"GET", b"quota:epoch"])
    store.run([b"HSET", b"quota:gateways", _field(gateway), b"1"])
    store.run([b"HGETALL", b"quota:gateways"])
    text = Figures(123_456, 2_000).text()
    for number in range(customers):
        store.run([b"HSET", _customer(number), _field(gateway), text])
        store.run([b"HGETALL", _customer(number)])


def _filled(customers: int, runs_each: int, gateways: int) -> Store:
    store = Store()
    for gateway in range(gateways):
        store.run([b"HSET", b"quota:gateways", _field(gateway), b"1"])
    for number in range(customers):
        for gateway in range(runs_each):
            store.run([b"HSET", _customer(number), _field(gateway), b"123456:2000"])
    return store


def _reply_bytes(store: Store, customers: int) -> int:
    replies = [store.run([b"HGETALL", _customer(number)]) for number in range(customers)]
    replies.append(store.run([b"HGETALL", b"quota:gateways"]))
    return sum(len(reply or b"") for reply in replies)


def _answer_read(data: bytes) -> int:
    """What a gateway does with the beats in an answer: its client's parser, then the check at the edge."""
    reader = hiredis.Reader()
    reader.feed(data)
    words = reader.gets()
    return len(beats_of(dict(zip(words[::2], words[1::2], strict=True))))


def counter_slopes() -> list[Slope]:
    """One report of a gateway to the shared counter: by customers in it, and by gateways that are known."""
    by_customers, state, by_gateways, answer, read = [], [], [], [], []
    for customers in CUSTOMERS:
        store = _filled(customers, 2, 570)
        by_customers.append(point(customers, repeated_ms(partial(_report, store, customers, 0))))
        kept = held_bytes(partial(_filled, customers, 2, 0))
        state.append(exact(customers, kept))
    for gateways in FIELDS:
        store = _filled(1, 2, gateways)
        by_gateways.append(point(gateways, repeated_ms(partial(_report, store, 1, 0))))
        answer.append(exact(gateways, _reply_bytes(store, 1)))
        data = store.run([b"HGETALL", b"quota:gateways"]) or b""
        read.append(point(gateways, repeated_ms(partial(_answer_read, data))))
    return [
        slope(
            "counter_report_ms",
            "the stand-in store runs one report (570 gateways known)",
            "customers in the report",
            "ms",
            by_customers,
        ),
        slope(
            "counter_state_bytes",
            "the stand-in store keeps customers seen at two gateways",
            "customers",
            "bytes",
            state,
        ),
        slope(
            "counter_beats_ms",
            "the stand-in store runs a report of one customer",
            "gateways",
            "ms",
            by_gateways,
        ),
        slope("counter_beats_bytes", "a report of one customer is answered", "gateways", "bytes", answer),
        slope("counter_beats_read_ms", "a gateway reads the beats in that answer", "gateways", "ms", read),
    ]


TRIPS = 1_000  # in a round


def store_slopes() -> list[Slope]:
    """The store's own work for a trip: a read and a compare-and-swap of a register's value, run in turn."""
    session = Session(Store())
    rounds = repeated_ms(partial(_trips, session))
    each = point(1, [round_ms / TRIPS for round_ms in rounds])
    return [
        slope(
            "store_trip_ms",
            "the stand-in store runs one trip of a register, without its sockets",
            "trips",
            "ms",
            [each],
        )
    ]


def _trips(session: Session) -> None:
    for number in range(TRIPS):
        session.run([b"WATCH", b"fleet:r"])
        session.run([b"GET", b"fleet:r"])
        session.run([b"MULTI"])
        session.run([b"SET", b"fleet:r", b"%d" % number * 50])
        session.run([b"EXEC"])


def slopes() -> list[Slope]:
    """All of them."""
    return [*lease_slopes(), *store_slopes(), *counter_slopes()]
