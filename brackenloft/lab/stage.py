"""What an experiment's runs share, in virtual time and on sockets: clients, front, nodes, faults, the oracle.

What differs stands in the two that are made of it: how time goes on, what a gateway is, how a request gets
there and how a list does.
"""

from __future__ import annotations

import hashlib
import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import numpy as np

from brackenloft import interface as api
from brackenloft.lab import customers
from brackenloft.lab.client_try import ClientTry, Seat
from brackenloft.lab.customers import Customer
from brackenloft.lab.nodes import Node
from brackenloft.lab.oracle import SLACK_MS, Oracle
from brackenloft.lab.spec import Class, Experiment, Fault, zone

STREAMS = ("customers", "network", "work", "clients", "front", "faults", "gateways")


class Stage(ABC):
    """One run's surroundings of gateways; ``oracle`` keeps watch."""

    def __init__(self, experiment: Experiment, seed: int, slack_ms: float = SLACK_MS) -> None:
        self.spec, self.seed = experiment, seed
        self.now = 0.0
        children = np.random.SeedSequence(seed).spawn(len(STREAMS))
        self.seeds = {
            name: int(child.generate_state(1, np.uint64)[0])
            for name, child in zip(STREAMS, children, strict=True)
        }
        self.streams = {name: random.Random(value) for name, value in self.seeds.items()}
        self.trace = hashlib.sha256()
        self.oracle = Oracle(experiment, slack_ms)
        self.front = customers.Front(experiment, self.seeds["front"])
        self.draw_class = customers.classes_of(experiment)
        kinds = experiment.classes
        self.mean_units = sum(k.units * k.share for k in kinds) / sum(k.share for k in kinds)
        self.memory: dict[str, OrderedDict[str, float]] = {}  # of keys, by the group that shares it
        self.nodes = [self._node(number) for number in range(experiment.nodes.count)]
        self.cut: set[int] = set()  # zones that are cut off
        self.late_lists = self.late_meter = 0.0
        self.asked = 0
        self.customers = customers.make(experiment, self._customer_stream())
        self.used: dict[tuple[int, int], float] = {}  # by customer and period

    def _customer_stream(self) -> Callable[[], random.Random]:
        parent = np.random.SeedSequence(self.seeds["customers"])
        return lambda: random.Random(int(parent.spawn(1)[0].generate_state(1, np.uint64)[0]))

    def _node(self, number: int) -> Node:
        spread = self.spec.nodes.speed_spread
        speed = 1.0 + spread * (2.0 * self.streams["work"].random() - 1.0)
        node = Node(number, self.spec.nodes, speed, lambda: self.now, self.later)
        node.memories = {
            api.KeyScope.ALL: self.memory.setdefault("all", OrderedDict()),
            api.KeyScope.ZONE: self.memory.setdefault(f"zone {node.zone}", OrderedDict()),
            api.KeyScope.CELL: self.memory.setdefault("cell 0", OrderedDict()),
        }
        return node

    def begin(self) -> None:
        """Set up the first request of each customer, and the faults."""
        for customer in self.customers:
            self._next_of(customer, 0.0)
        for fault in self.spec.faults:
            self.later(fault.at_ms, self._fault, fault)

    def end_ms(self) -> float:
        """When the last request, its deadline, and what is still out then are over."""
        longest = max(kind.deadline_ms for kind in self.spec.classes)
        return self.spec.length_ms + self.spec.settle_ms + 2.0 * longest

    # ---- What differs

    @abstractmethod
    def later(self, delay: float, call: Callable[[Any], None], argument: Any) -> None:
        """Call it up after so many milliseconds."""

    @abstractmethod
    def seat_at(self, index: int) -> Seat:
        """The process that stands at this place now."""

    @abstractmethod
    def taken(self, seat: Any, ask: ClientTry) -> None:
        """A client's try has reached its gateway."""

    @abstractmethod
    def leave(self, ask: ClientTry) -> None:
        """A client closes its connection, if it still waits."""

    @abstractmethod
    def tell(self, index: int, entry: api.ServerEntry) -> None:
        """News of a node reach a gateway."""

    @abstractmethod
    def fall(self, index: int) -> None:
        """A gateway's process dies; its clients are told by ``died``."""

    @abstractmethod
    def rise(self, index: int) -> None:
        """A new process starts in its place."""

    def moved(self, node: Node) -> None:  # noqa: B027 -- virtual time needs no word of it
        """A node went down or came up."""

    def cut_moved(self) -> None:  # noqa: B027 -- the same
        """Other zones than before are cut off."""

    def note(self, *words: object) -> None:
        """A line of the trace; the digest of all is the run's."""
        self.trace.update(f"{self.now:.3f} {' '.join(map(str, words))}\n".encode())

    def way(self, a: int, b: int) -> float:
        """One way between two zones, in milliseconds."""
        net = self.spec.network
        base = net.same_ms if a == b else net.cross_ms
        return base * (1.0 + net.jitter * self.streams["network"].random())

    def apart(self, seat: Seat, node: Node) -> bool:
        """Whether nothing gets from the one to the other."""
        own = seat.index % self.spec.nodes.zones
        return own != node.zone and (own in self.cut or node.zone in self.cut)

    def entry(self, node: Node, state: api.ServerState | None = None) -> api.ServerEntry:
        """What a list says of it."""
        state = state or (api.ServerState.READY if node.up else api.ServerState.GONE)
        return api.ServerEntry(node.number, zone(node.zone), state=state, started_ms=node.started_ms)

    def work(self, kind: Class) -> float:
        """Work of one request at a node of speed 1, drawn."""
        return kind.work_ms * (1.0 / 3.0 + self.streams["work"].expovariate(1.5))

    def used_percent(self, customer: Customer) -> float:
        """Percent of the rate in the last period that the meter has added up."""
        told = self.spec.told
        period = int((self.now - told.meter_late_ms - self.late_meter) // told.meter_ms) - 1
        return (
            100.0
            * self.used.get((customer.number, period), 0.0)
            / (customer.plan.rate * told.meter_ms / 1000.0)
        )

    def count_use(self, ask: ClientTry) -> None:
        """A request's first attempt has come to a node: the meter has it."""
        key = (ask.customer.number, int(self.now // self.spec.told.meter_ms))
        self.used[key] = self.used.get(key, 0.0) + ask.kind.units

    # ---- Clients

    def _next_of(self, customer: Customer, at: float) -> None:
        due = customers.next_after(customer, at, self.spec, self.mean_units)
        if due <= self.spec.length_ms:
            self.later(due - self.now, self._due, customer)

    def _due(self, customer: Customer) -> None:
        """A first try; the next one is due whatever becomes of it."""
        kind = self.draw_class(customer.stream)
        inside = self.oracle.offered(self.now, customer, kind)
        self._try(customer, kind, self.now, 1, inside)
        self._next_of(customer, self.now)

    def _try(self, customer: Customer, kind: Class, first_at: float, tries: int, inside: bool) -> None:
        gateway = self.front.choose(customer, self.now, self.streams["front"])
        self.asked += 1
        ask = ClientTry(
            f"q{self.asked}",
            customer,
            kind,
            first_at,
            tries,
            self.now,
            self.now + kind.deadline_ms * self.spec.clients.patience,
            inside,
        )
        if gateway is None:
            self.lost(ask)
            return
        ask.gateway = gateway
        self.hand_over(ask)
        share = self.spec.clients.leaves
        if share and self.streams["clients"].random() < share:
            self.later(self.streams["clients"].random() * (ask.gives_up - self.now), self.leave, ask)

    def hand_over(self, ask: ClientTry) -> None:
        """A client's try sets out for its gateway."""
        net = self.spec.network
        self.later(net.client_ms * (1.0 + net.jitter * self.streams["network"].random()), self._reaches, ask)

    def _reaches(self, ask: ClientTry) -> None:
        seat = self.seat_at(ask.gateway)
        if seat.up:
            seat.asks[ask.name] = ask
            self.taken(seat, ask)
        else:
            self.lost(ask)

    def settle(
        self, seat: Seat, ask: ClientTry, what: str, advice_ms: float = 0.0, over_quota: bool | None = None
    ) -> None:
        """A try has its final answer."""
        ask.ended = True
        self.note("answer", seat.index, ask.name, what)
        self.oracle.answered(self.now, ask, what, over_quota)
        if what != "served":
            self._again(ask, what, advice_ms)

    def died(self, ask: ClientTry) -> None:
        """Its gateway died under it."""
        ask.ended = True
        self.oracle.died(ask)
        self._again(ask, "failed", 0.0)

    def _again(self, ask: ClientTry, what: str, advice_ms: float) -> None:
        """A client tries again by itself: after a refusal always, after a failure what is safe or keyed."""
        clients = self.spec.clients
        if ask.tries > clients.retries or (what == "failed" and ask.kind.effect is api.Effect.UNSAFE):
            return
        stream = self.streams["clients"]
        wait = clients.wait_ms * 2.0 ** (ask.tries - 1) * (0.5 + stream.random())
        if advice_ms and stream.random() < clients.heeds:
            wait = max(wait, advice_ms)
        self.later(wait, self._retry, ask)

    def _retry(self, ask: ClientTry) -> None:
        self._try(ask.customer, ask.kind, ask.first_at, ask.tries + 1, ask.inside)

    def lost(self, ask: ClientTry) -> None:
        """Nobody took it: the client comes again."""
        self._again(ask, "refused", 0.0)

    # ---- Faults

    def _fault(self, fault: Fault) -> None:
        self.note("fault", fault.kind, fault.on)
        self.oracle.fault(self.now, fault)
        getattr(self, f"_{fault.kind}")(fault, True)
        if fault.for_ms:
            self.later(fault.for_ms, self._over, fault)

    def _over(self, fault: Fault) -> None:
        self.note("over", fault.kind, fault.on)
        getattr(self, f"_{fault.kind}")(fault, False)

    def _list(self, node: Node, state: api.ServerState | None = None, known: bool = False) -> None:
        """News of a node reaches each gateway late, each in its own time."""
        entry = self.entry(node, state)
        for index in range(self.spec.gateways.count):
            delay = 0.0 if known else self.spec.told.list_ms * (0.5 + self.streams["faults"].random())
            self.later(delay + self.late_lists, self._news, (index, entry))

    def _news(self, which: tuple[int, api.ServerEntry]) -> None:
        self.tell(*which)

    def _crash(self, fault: Fault, begins: bool) -> None:
        for number in fault.on:
            node = self.nodes[number]
            if begins:
                for job in node.crash():
                    job.done(job, api.Status.RESET)
            else:
                node.start()
            self.moved(node)
            self._list(node)

    def _start(self, fault: Fault, begins: bool) -> None:
        """A process is replaced by a new one at once: cold, and known as such late."""
        if begins:
            self._crash(fault, True)
            self._crash(fault, False)

    def _drain(self, fault: Fault, begins: bool) -> None:
        for number in fault.on:
            self._list(self.nodes[number], api.ServerState.DRAINING if begins else api.ServerState.READY)

    def _silent(self, fault: Fault, begins: bool) -> None:
        for number in fault.on:
            self.nodes[number].silent = begins

    def _slow(self, fault: Fault, begins: bool) -> None:
        for number in fault.on:
            self.nodes[number].slowed = fault.size if begins else 1.0

    def _errors(self, fault: Fault, begins: bool) -> None:
        names = [fault.class_name] if fault.class_name else [kind.name for kind in self.spec.classes]
        for number in fault.on:
            self.nodes[number].error_share = dict.fromkeys(names, min(1.0, fault.size)) if begins else {}

    def _cut(self, fault: Fault, begins: bool) -> None:
        (self.cut.update if begins else self.cut.difference_update)(fault.on)
        self.cut_moved()

    def _late_lists(self, fault: Fault, begins: bool) -> None:
        self.late_lists = fault.size if begins else 0.0

    def _late_meter(self, fault: Fault, begins: bool) -> None:
        self.late_meter = fault.size if begins else 0.0

    def _rush(self, fault: Fault, begins: bool) -> None:
        for number in fault.on:
            self.customers[number].pressed = fault.size if begins else 1.0  # from its next request on

    def _gateway_crash(self, fault: Fault, begins: bool) -> None:
        for index in fault.on if begins else ():
            self.fall(index)
            self.later(self.spec.gateways.notice_ms, self.front.down.add, index)
            self.later(self.spec.gateways.restart_ms, self._back, index)

    def _back(self, index: int) -> None:
        self.rise(index)
        self.later(self.spec.gateways.notice_ms, self.front.down.discard, index)
