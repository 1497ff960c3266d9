"""The world: gateways' decisions among the models, in virtual time. One seed, one trace.

Events of one instant happen in the order in which they were set up. What an action means here is what the
driver makes of it on sockets: one outcome for each send; NOT_SENT once the client has its answer or its
time is up; a good answer goes to the client before the decisions hear of it; timers are never early.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import numpy as np

from brackenloft import interface as api
from brackenloft.lab import customers
from brackenloft.lab.customers import Customer
from brackenloft.lab.nodes import Job, Node
from brackenloft.lab.oracle import Oracle
from brackenloft.lab.spec import Class, Experiment, Fault, zone

MOST_EVENTS = 50_000_000  # of one run: one that never ends is ended, and says so
IDLE_MS = 12_000.0  # after which a gateway retires a connection: its share of what the settings allow
STREAMS = ("customers", "network", "work", "clients", "front", "faults", "gateways")


class Policy(Protocol):
    """What decides at one gateway: ours, or one to compare it with."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Decide on one event."""


Make = Callable[[api.Settings, int], Policy]


@dataclass(slots=True, eq=False)
class Ask:
    """One try of a client."""

    name: str
    customer: Customer
    kind: Class
    first_at: float  # of its first try
    tries: int
    at: float
    gives_up: float
    inside: bool  # whether the quota, seen as one, has room for the first try
    gateway: int = -1
    ended: bool = False
    sends: int = 0
    out: dict[int, tuple[Node, Job]] = field(default_factory=dict)
    jobs: list[Job] = field(default_factory=list)  # those that reached a node
    sent_at: list[float] = field(default_factory=list)

    def chain(self) -> str:
        """Its wish, the same for all tries; the idempotency key of a keyed class."""
        return f"{self.customer.number}/{self.first_at:.6f}"


class Seat:
    """One gateway's process: its decisions and what it has in hand."""

    def __init__(self, index: int, policy: Policy) -> None:
        self.index, self.policy = index, policy
        self.asks: dict[str, Ask] = {}
        self.up = True
        self.told: dict[int, api.ServerState] = {}
        self.idle: dict[int, list[tuple[float, int]]] = {}  # connections at rest, by node: since, its epoch


class World:
    """One run. ``run`` plays it to its end; ``oracle`` has kept watch."""

    def __init__(self, experiment: Experiment, make: Make, seed: int) -> None:
        self.spec, self.make, self.seed = experiment, make, seed
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.count = self.events = 0
        children = np.random.SeedSequence(seed).spawn(len(STREAMS))
        self.seeds = {
            name: int(child.generate_state(1, np.uint64)[0])
            for name, child in zip(STREAMS, children, strict=True)
        }
        self.streams = {name: random.Random(value) for name, value in self.seeds.items()}
        self.trace = hashlib.sha256()
        self.oracle = Oracle(experiment)
        self.front = customers.Front(experiment, self.seeds["front"])
        self.draw_class = customers.classes_of(experiment)
        kinds = experiment.classes
        self.mean_units = sum(k.units * k.share for k in kinds) / sum(k.share for k in kinds)
        self.memory: dict[str, OrderedDict[str, float]] = {}  # of keys, by the group that shares it
        self.nodes = [self._node(number) for number in range(experiment.nodes.count)]
        self.cut: set[int] = set()  # zones that are cut off
        self.late_lists = self.late_meter = 0.0
        self.asked = 0
        self.connects: Counter[int] = Counter()  # by second, over the whole fleet
        self.list_reads: Counter[int] = Counter()  # whole lists, the same
        self.seats = [self._seat(index, 0.0) for index in range(experiment.gateways.count)]
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

    # ---- Time

    def later(self, delay: float, call: Callable[[Any], None], argument: Any) -> None:
        """Call it up after so many milliseconds."""
        self.count += 1
        heapq.heappush(self.heap, (self.now + max(0.0, delay), self.count, call, argument))

    def run(self) -> World:
        """To the end: the last request, its deadline, and what is still out then."""
        for customer in self.customers:
            self._next_of(customer, 0.0)
        for fault in self.spec.faults:
            self.later(fault.at_ms, self._fault, fault)
        end = self.spec.length_ms + self.spec.settle_ms + 2.0 * max(k.deadline_ms for k in self.spec.classes)
        while self.heap and self.heap[0][0] <= end:
            self.events += 1
            if self.events > MOST_EVENTS:
                self.oracle.broken("the run does not end", f"{MOST_EVENTS} events by {self.now:.0f} ms")
                break
            self.now, _, call, argument = heapq.heappop(self.heap)
            call(argument)
        self.oracle.end(self.now, self.nodes)
        return self

    def note(self, *words: object) -> None:
        """A line of the trace; the digest of all is the run's."""
        self.trace.update(f"{self.now:.3f} {' '.join(map(str, words))}\n".encode())

    def _way(self, a: int, b: int) -> float:
        net = self.spec.network
        base = net.same_ms if a == b else net.cross_ms
        return base * (1.0 + net.jitter * self.streams["network"].random())

    def _apart(self, seat: Seat, node: Node) -> bool:
        own = seat.index % self.spec.nodes.zones
        return own != node.zone and (own in self.cut or node.zone in self.cut)

    # ---- Gateways

    def _seat(self, index: int, at: float) -> Seat:
        seat = Seat(
            index, self.make(self.spec.settings(index), self.seeds["gateways"] + index + int(at) * 1000)
        )
        self.list_reads[int(self.now // 1000)] += 1
        entries = tuple(self._entry(node) for node in self.nodes)
        self._tell(seat, api.ServerList(api.ListKind.CACHED, entries))
        self._tell(seat, api.ServerList(api.ListKind.FULL, entries))
        return seat

    def _entry(self, node: Node, state: api.ServerState | None = None) -> api.ServerEntry:
        state = state or (api.ServerState.READY if node.up else api.ServerState.GONE)
        return api.ServerEntry(node.number, zone(node.zone), state=state, started_ms=node.started_ms)

    def _tell(self, seat: Seat, event: api.Event) -> None:
        if not seat.up:
            return
        if isinstance(event, api.ServerList):
            for entry in event.entries:
                self.oracle.told(self.now, seat.index, entry)
        for action in seat.policy.handle(self.now, event):
            self._act(seat, action)

    def _act(self, seat: Seat, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(seat, action)
        elif isinstance(action, api.Refuse):
            self._answer(seat, action.request_id, "refused", action.retry_after_ms, action.over_quota)
        elif isinstance(action, api.Fail):
            self._answer(seat, action.request_id, "failed")
        elif isinstance(action, api.SetTimer):
            self.later(action.delay_ms, self._timer, (seat, action.token))
        elif isinstance(action, api.Cancel):
            self._cancel(seat, action)

    def _timer(self, which: tuple[Seat, int]) -> None:
        seat, token = which
        self._tell(seat, api.TimerFired(token))

    # ---- Attempts

    def _send(self, seat: Seat, action: api.Send) -> None:
        ask = seat.asks.get(action.request_id)
        if ask is None:
            self.oracle.broken("sent after its end", action.request_id)
            return
        number = ask.sends
        ask.sends += 1
        if ask.ended or self.now >= ask.gives_up:
            self.later(0.0, self._not_sent, (seat, ask, number, action.server))
            return
        node = self.nodes[action.server]
        self.note("send", seat.index, ask.name, number, node.number)
        self._connection(seat, node)
        job = Job(
            ask.name,
            number,
            ask.kind.name,
            ask.chain() if ask.kind.effect is api.Effect.KEYED else "",
            ask.kind,
            self._work(ask.kind),
            lambda job, status: self._done(seat, ask, node, job, status),
        )
        ask.out[number] = (node, job)
        ask.sent_at.append(self.now)
        self.oracle.sent(self.now, seat.index, ask, node, ask.inside)
        wait = min(ask.gives_up - self.now, action.timeout_ms or ask.gives_up)
        self.later(wait, self._timed_out, (seat, ask, number))
        if self._apart(seat, node):
            self.later(
                self.spec.network.connect_timeout_ms,
                self._ended,
                (seat, ask, number, api.Status.CONNECT_FAILED, job),
            )
        else:
            self.later(
                self._way(seat.index % self.spec.nodes.zones, node.zone), self._arrives, (seat, ask, number)
            )

    def _connection(self, seat: Seat, node: Node) -> None:
        """Take one that rests at this gateway and still leads to the node's process, or open one."""
        idle = seat.idle.get(node.number, [])
        while idle:
            since, epoch = idle.pop()
            if epoch == node.epoch and self.now - since < IDLE_MS:
                return
        self.connects[int(self.now // 1000)] += 1

    def _work(self, kind: Class) -> float:
        return kind.work_ms * (1.0 / 3.0 + self.streams["work"].expovariate(1.5))

    def _not_sent(self, which: tuple[Seat, Ask, int, int]) -> None:
        seat, ask, number, server = which
        self._tell(seat, api.Outcome(ask.name, number, server, api.Status.NOT_SENT, 0.0, ask.ended))
        self._drop_if_done(seat, ask)

    def _arrives(self, which: tuple[Seat, Ask, int]) -> None:
        seat, ask, number = which
        found = ask.out.get(number)
        if found is None:
            return
        node, job = found
        if not node.up:
            self._ended((seat, ask, number, api.Status.CONNECT_FAILED, job))
            return
        ask.jobs.append(job)
        if number == 0:
            period = int(self.now // self.spec.told.meter_ms)
            key = (ask.customer.number, period)
            self.used[key] = self.used.get(key, 0.0) + ask.kind.units
        status = node.take(job, self.streams["work"].random())
        if status is not None:
            self._done(seat, ask, node, job, status)

    def _done(self, seat: Seat, ask: Ask, node: Node, job: Job, status: api.Status) -> None:
        if not self._apart(seat, node):
            self.later(
                self._way(seat.index % self.spec.nodes.zones, node.zone),
                self._ended,
                (seat, ask, job.number, status, job),
            )

    def _ended(self, which: tuple[Seat, Ask, int, api.Status, Job]) -> None:
        """What an attempt came to has reached the gateway; the first such word counts."""
        seat, ask, number, status, job = which
        found = ask.out.pop(number, None)
        if found is None or not seat.up:
            return
        node, sent = found[0], ask.sent_at[number] if number < len(ask.sent_at) else self.now
        if status is api.Status.OK and not ask.ended:
            self._answer(seat, ask.name, "served")
        self.note("outcome", seat.index, ask.name, number, status.value)
        heard = status in (api.Status.OK, api.Status.ERROR, api.Status.FULL)
        if heard:
            seat.idle.setdefault(node.number, []).append((self.now, node.epoch))
        self._tell(
            seat,
            api.Outcome(
                ask.name,
                number,
                node.number,
                status,
                self.now - sent,
                ask.ended,
                self._used(ask.customer) if heard else None,
                None,
                node.load() if heard else None,
            ),
        )
        self._drop_if_done(seat, ask)

    def _used(self, customer: Customer) -> float:
        """Percent of the rate in the last period that the meter has added up."""
        told = self.spec.told
        period = int((self.now - told.meter_late_ms - self.late_meter) // told.meter_ms) - 1
        return (
            100.0
            * self.used.get((customer.number, period), 0.0)
            / (customer.plan.rate * told.meter_ms / 1000.0)
        )

    def _timed_out(self, which: tuple[Seat, Ask, int]) -> None:
        seat, ask, number = which
        if number in ask.out:
            self._stop(seat, ask, number, api.Status.TIMEOUT)

    def _cancel(self, seat: Seat, action: api.Cancel) -> None:
        ask = seat.asks.get(action.request_id)
        if ask and action.attempt in ask.out:
            self.later(0.0, self._cancelled, (seat, ask, action.attempt))

    def _cancelled(self, which: tuple[Seat, Ask, int]) -> None:
        seat, ask, number = which
        if number in ask.out:
            self._stop(seat, ask, number, api.Status.CANCELLED)

    def _stop(self, seat: Seat, ask: Ask, number: int, status: api.Status) -> None:
        node, job = ask.out[number]
        if not self._apart(seat, node):
            node.cancel(job)
        self._ended((seat, ask, number, status, job))

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
        ask = Ask(
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
            self._lost(ask)
            return
        ask.gateway = gateway
        net = self.spec.network
        self.later(net.client_ms * (1.0 + net.jitter * self.streams["network"].random()), self._taken, ask)

    def _taken(self, ask: Ask) -> None:
        seat = self.seats[ask.gateway]
        if not seat.up:
            self._lost(ask)
            return
        self.note("ask", seat.index, ask.name, ask.customer.number, ask.kind.name)
        self.oracle.taken(self.now, seat.index, ask)
        seat.asks[ask.name] = ask
        self.later(ask.gives_up - self.now, self._given_up, (seat, ask))
        self._tell(
            seat,
            api.Request(
                ask.name,
                ask.kind.name,
                ask.customer.plan.name,
                ask.customer.name(),
                ask.gives_up - self.now,
                ask.kind.units,
                self.spec.gateways.width,
                ask.customer.first,
                is_write=ask.kind.effect is not api.Effect.SAFE,
            ),
        )

    def _given_up(self, which: tuple[Seat, Ask]) -> None:
        """The client's time is up; what is still in hand then has been lost by the gateway."""
        seat, ask = which
        if not ask.ended and seat.up:
            ask.ended = True
            self.oracle.unanswered(self.now, ask)
            self._tell(seat, api.ClientGone(ask.name))
            self._drop_if_done(seat, ask)

    def _answer(
        self, seat: Seat, name: str, what: str, advice_ms: float = 0.0, over_quota: bool = False
    ) -> None:
        ask = seat.asks.get(name)
        if ask is None or ask.ended:
            self.oracle.broken("answered twice", name)
            return
        ask.ended = True
        self.note("answer", seat.index, name, what)
        self.oracle.answered(self.now, ask, what, over_quota)
        if what != "served":
            self._again(ask, what, advice_ms)
        self._drop_if_done(seat, ask)

    def _again(self, ask: Ask, what: str, advice_ms: float) -> None:
        """A client tries again by itself: after a refusal always, after a failure what is safe or keyed."""
        clients = self.spec.clients
        if ask.tries > clients.retries or (what == "failed" and ask.kind.effect is api.Effect.UNSAFE):
            return
        stream = self.streams["clients"]
        wait = clients.wait_ms * 2.0 ** (ask.tries - 1) * (0.5 + stream.random())
        if advice_ms and stream.random() < clients.heeds:
            wait = max(wait, advice_ms)
        self.later(wait, self._retry, ask)

    def _retry(self, ask: Ask) -> None:
        self._try(ask.customer, ask.kind, ask.first_at, ask.tries + 1, ask.inside)

    def _lost(self, ask: Ask) -> None:
        """Nobody took it: the client comes again."""
        self._again(ask, "refused", 0.0)

    def _drop_if_done(self, seat: Seat, ask: Ask) -> None:
        if ask.ended and not ask.out:
            seat.asks.pop(ask.name, None)

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
        entry = self._entry(node, state)
        for seat in self.seats:
            delay = 0.0 if known else self.spec.told.list_ms * (0.5 + self.streams["faults"].random())
            self.later(delay + self.late_lists, self._news, (seat, entry))

    def _news(self, which: tuple[Seat, api.ServerEntry]) -> None:
        seat, entry = which
        self._tell(self.seats[seat.index], api.ServerList(api.ListKind.CHANGES, (entry,)))

    def _crash(self, fault: Fault, begins: bool) -> None:
        for number in fault.on:
            node = self.nodes[number]
            if begins:
                for job in node.crash():
                    job.done(job, api.Status.RESET)
            else:
                node.start()
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

    def _late_lists(self, fault: Fault, begins: bool) -> None:
        self.late_lists = fault.size if begins else 0.0

    def _late_meter(self, fault: Fault, begins: bool) -> None:
        self.late_meter = fault.size if begins else 0.0

    def _rush(self, fault: Fault, begins: bool) -> None:
        for number in fault.on:
            self.customers[number].pressed = fault.size if begins else 1.0  # from its next request on

    def _gateway_crash(self, fault: Fault, begins: bool) -> None:
        for index in fault.on:
            seat = self.seats[index]
            if not begins:
                continue
            seat.up = False
            for ask in seat.asks.values():
                for node, job in ask.out.values():
                    node.cancel(job)
                if not ask.ended:
                    ask.ended = True
                    self.oracle.died(ask)
                    self._again(ask, "failed", 0.0)
            self.later(self.spec.gateways.notice_ms, self.front.down.add, index)
            self.later(self.spec.gateways.restart_ms, self._back, index)

    def _back(self, index: int) -> None:
        self.seats[index] = self._seat(index, self.now)
        self.later(self.spec.gateways.notice_ms, self.front.down.discard, index)
