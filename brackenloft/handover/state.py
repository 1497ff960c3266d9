"""What one process knows and has promised, told to the next: out of one gateway's decisions into another's.

No I/O, no clock: both ends give the time. Times travel as ages, so that the two clocks need not agree.
Everything that comes in is checked before any of it is adopted: a state is taken whole or not at all.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf, isfinite
from typing import Any

from brackenloft.handover.frames import Document
from brackenloft.policy import Gateway
from brackenloft.policy.meter import Customer
from brackenloft.policy.servers import Server

MOST_CUSTOMERS = 20_000  # those seen last; of others the ceilings count as unknown
MOST_SERVERS = 10_000
MOST_MARKS = 200  # classes, plans and zones of which failures were noted, at a server
LONGEST_NAME = 256
LARGEST = 1e15  # of any figure: beyond that nothing can be meant
PLAIN = ("excess", "largest", "width", "used", "mean", "own", "out", "ceiling", "asked", "rush")
TIMES = ("touched", "used_at", "own_at", "ceiling_at", "asked_at")

Row = list[Any]


class StateError(ValueError):
    """A state that can't be adopted."""


# ---- Telling


def _age(now: float, then: float) -> float | None:
    return None if then == -inf else max(0.0, now - then)


def _moment(now: float, moment: tuple[float, int]) -> Row:
    return [_age(now, moment[0]), moment[1]]


def _marks(now: float, marks: Mapping[str, Any]) -> dict[str, Row]:
    return {
        name: [bad, seen, _moment(now, then)] for name, (bad, seen, then) in list(marks.items())[:MOST_MARKS]
    }


def _customer(plan: str, name: str, customer: Customer, owed: float, now: float) -> Row:
    figures = [getattr(customer, field) for field in PLAIN]
    figures[PLAIN.index("ceiling")] -= owed
    return [plan, name, figures, [_age(now, getattr(customer, field)) for field in TIMES]]


def _server(server: Server, now: float) -> Row:
    return [
        server.started,
        server.ratio,
        _moment(now, server.ratio_at),
        server.queue,
        _moment(now, server.queue_at),
        _marks(now, server.marks),
    ]


def pending(gateway: Gateway) -> set[str]:
    """Ids of the requests that were taken and not sent yet: charged by the state, whenever they are sent."""
    return {name for name, flight in gateway.flights.items() if not flight.sends and not flight.closed}


def tell(gateway: Gateway, names: Mapping[int, str], now: float) -> Document:
    """The state as it is now; ``names`` of servers by number."""
    meter, fleet = gateway.meter, gateway.fleet
    owed: dict[tuple[str, str], float] = {}
    for name in pending(gateway):
        request = gateway.flights[name].request
        key = (request.plan, request.customer)
        owed[key] = owed.get(key, 0.0) + request.units
    customers = list(meter.customers.items())
    return {
        "kind": "state",
        "customers": [
            _customer(*key, customer, owed.get(key, 0.0), now)
            for key, customer in customers[-MOST_CUSTOMERS:]
        ],
        "whole": len(customers) <= MOST_CUSTOMERS,
        "started": _age(now, min(meter.started_at, now)),
        "servers": {
            names[number]: _server(server, now) for number, server in fleet.servers.items() if number in names
        },
        "fleet": {
            "pool": fleet.pool if isfinite(fleet.pool) else None,
            "answers": fleet.answers,
            "mean": fleet.mean,
            "sends": fleet.sends,
            "latency": fleet.latency,
            "marks": _marks(now, fleet.marks),
            "retries": gateway.retries,
        },
    }


# ---- Adopting


def _number(value: Any, low: float = 0.0, high: float = LARGEST) -> float:
    if type(value) not in (int, float) or not low <= value <= high:
        raise StateError(f"no figure: {value!r:.40}")
    return float(value)


def _count(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= LARGEST:
        raise StateError(f"no count: {value!r:.40}")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > LONGEST_NAME:
        raise StateError("no name")
    return value


def _items(value: Any, kind: type, most: int) -> Any:
    if not isinstance(value, kind) or len(value) > most:  # type: ignore[arg-type]
        raise StateError(f"no {kind.__name__}, or a long one")
    return value


def _row(value: Any, length: int) -> Row:
    row: Row = _items(value, list, length)
    if len(row) != length:
        raise StateError("a row of another length")
    return row


def _then(value: Any, now: float) -> float:
    return -inf if value is None else now - _number(value)


def _read_moment(value: Any, now: float) -> tuple[float, int]:
    age, sends = _row(value, 2)
    return _then(age, now), _count(sends)


def _read_marks(value: Any, now: float) -> dict[str, Any]:
    marks = {}
    for name, row in _items(value, dict, MOST_MARKS).items():
        bad, seen, then = _row(row, 3)
        marks[_text(name)] = (_number(bad), _number(seen), _read_moment(then, now))
    return marks


def _read_customer(row: Any, gateway: Gateway, now: float) -> tuple[tuple[str, str], Customer]:
    plan, name, figures, times = _row(row, 4)
    if plan not in gateway.meter.plans:
        raise StateError("a plan that is not known here")
    customer = Customer(now, 0.0, gateway.meter.plans[plan])
    for field, value in zip(PLAIN, _row(figures, len(PLAIN)), strict=True):
        low = -LARGEST if field == "ceiling" else 1.0 if field == "width" else 0.0
        setattr(customer, field, _number(value, low))
    for field, value in zip(TIMES, _row(times, len(TIMES)), strict=True):
        if value is None and field != "used_at":
            raise StateError("a time that never was")
        setattr(customer, field, _then(value, now))
    customer.width, customer.out = int(customer.width), int(customer.out)
    return (plan, _text(name)), customer


def _read_server(row: Any, now: float) -> Callable[[Server], None]:
    started, ratio, ratio_at, queue, queue_at, marks = _row(row, 6)
    start, figures = _number(started), (_number(ratio), _number(queue))
    moments, read = (_read_moment(ratio_at, now), _read_moment(queue_at, now)), _read_marks(marks, now)

    def adopt(server: Server) -> None:
        if server.started != start:
            return  # it has been started anew since: what it showed before tells nothing
        (server.ratio, server.queue), (server.ratio_at, server.queue_at) = figures, moments
        server.marks, server.bad = read, {name for name, mark in read.items() if mark[0]}

    return adopt


class Adopted:
    """A state that was checked and taken over; what the process before still does is charged here too."""

    def __init__(self, gateway: Gateway, document: Document, numbers: Mapping[str, int], now: float) -> None:
        self.gateway = gateway
        self.out: dict[tuple[str, str], int] = {}  # attempts of the process before, by customer
        try:
            self._adopt(document, numbers, now)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise StateError(f"a state that can't be read: {error}") from error

    def _adopt(self, document: Document, numbers: Mapping[str, int], now: float) -> None:
        gateway, meter, fleet = self.gateway, self.gateway.meter, self.gateway.fleet
        rows = _items(document["customers"], list, MOST_CUSTOMERS)
        customers = dict(_read_customer(row, gateway, now) for row in rows)
        servers = {
            _text(name): _read_server(row, now)
            for name, row in _items(document["servers"], dict, MOST_SERVERS).items()
        }
        figures = _items(document["fleet"], dict, 16)
        pool = figures["pool"] if figures["pool"] is None else _number(figures["pool"])
        answers, mean, sends = _count(figures["answers"]), _number(figures["mean"]), _count(figures["sends"])
        latency = {name: _number(figures["latency"][name], 1e-6) for name in fleet.latency}
        marks, retries = _read_marks(figures["marks"], now), _number(figures["retries"], -LARGEST)
        started = now - _number(document["started"]) if document["whole"] is True else now
        # From here on nothing can fail.
        meter.customers = customers | meter.customers
        meter.started_at = min(meter.started_at, started)
        self.out = {key: customer.out for key, customer in customers.items() if customer.out}
        for name, adopt in servers.items():
            server = fleet.servers.get(numbers.get(name, 0))
            if server:
                adopt(server)
        if pool is not None:
            fleet.pool = pool
        fleet.answers, fleet.mean, fleet.latency = answers, mean, latency
        fleet.sends, fleet.marks = sends, marks
        fleet.bad = {name for name, mark in marks.items() if mark[0]}
        gateway.retries = min(gateway.retries, retries)

    def charged(self, rows: Any, now: float) -> None:
        """Attempts that the process before has sent (+1) or that ended there (-1), of each customer.

        ``units`` above 0: a first attempt that the state did not have; it is drawn from quota and ceiling.
        """
        meter = self.gateway.meter
        for row in _items(rows, list, MOST_CUSTOMERS):
            name, customer_name, step, units = _row(row, 4)
            key, taken = (_text(name), _text(customer_name)), _number(units)
            plan, customer = meter.plans.get(key[0]), meter.customers.get(key)
            if plan is None or step not in (1, -1):
                raise StateError("a charge that can't be read")
            if customer is None:
                customer = meter.customers[key] = Customer(now, 0.0, plan)
            if taken:
                meter.settle(customer, 0.0, taken)
                meter.draw_ceiling(customer, plan, taken, now)
            self._step(key, customer, int(step))

    def _step(self, key: tuple[str, str], customer: Customer, step: int) -> None:
        held = self.out.get(key, 0) + step
        if held >= 0:  # guards against ends of attempts that were never told
            customer.out += step
            self.out[key] = held

    def ended(self) -> None:
        """The process before has gone: its attempts are out no more."""
        for key, held in self.out.items():
            customer = self.gateway.meter.customers.get(key)
            if customer:
                customer.out = max(0, customer.out - held)
        self.out.clear()
