"""The world: gateways' decisions among the models, in virtual time. One seed, one trace.

Events of one instant happen in the order in which they were set up. What an action means here is what the
driver makes of it on sockets: one outcome for each send; NOT_SENT once the client has its answer or its
time is up; a good answer goes to the client before the decisions hear of it; timers are never early.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from brackenloft import interface as api
from brackenloft.lab.client_try import ClientTry, Seat
from brackenloft.lab.nodes import Job, Node
from brackenloft.lab.spec import Experiment
from brackenloft.lab.stage import Stage

MOST_EVENTS = 50_000_000  # of one run: one that never ends is ended, and says so
IDLE_MS = 12_000.0  # after which a gateway retires a connection: its share of what the settings allow


class Policy(Protocol):
    """What decides at one gateway: ours, or one to compare it with."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Decide on one event."""


Make = Callable[[api.Settings, int], Policy]


class Desk(Seat):
    """A gateway of the world: its decisions, and its connections at rest."""

    def __init__(self, index: int, policy: Policy) -> None:
        super().__init__(index)
        self.policy = policy
        self.idle: dict[int, list[tuple[float, int]]] = {}  # by node: since when, to which of its processes


class World(Stage):
    """One run. ``run`` plays it to its end; ``oracle`` has kept watch."""

    def __init__(self, experiment: Experiment, make: Make, seed: int) -> None:
        super().__init__(experiment, seed)
        self.make = make
        self.heap: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.count = self.events = 0
        self.connects: Counter[int] = Counter()  # by second, over the whole fleet
        self.list_reads: Counter[int] = Counter()  # whole lists, the same
        entries = self._entries()
        self.seats = [self._seat(index, entries) for index in range(experiment.gateways.count)]

    # ---- Time

    def later(self, delay: float, call: Callable[[Any], None], argument: Any) -> None:
        """Call it up after so many milliseconds."""
        self.count += 1
        heapq.heappush(self.heap, (self.now + max(0.0, delay), self.count, call, argument))

    def run(self) -> World:
        """To the end: the last request, its deadline, and what is still out then."""
        self.begin()
        end = self.end_ms()
        while self.heap and self.heap[0][0] <= end:
            self.events += 1
            if self.events > MOST_EVENTS:
                self.oracle.broken("the run does not end", f"{MOST_EVENTS} events by {self.now:.0f} ms")
                break
            self.now, _, call, argument = heapq.heappop(self.heap)
            call(argument)
        self.oracle.end(self.now, self.nodes)
        return self

    # ---- Gateways

    def seat_at(self, index: int) -> Seat:
        """The process that stands at this place now."""
        return self.seats[index]

    def tell(self, index: int, entry: api.ServerEntry) -> None:
        """News of a node reach a gateway."""
        self._tell(self.seats[index], api.ServerList(api.ListKind.CHANGES, (entry,)))

    def fall(self, index: int) -> None:
        """A gateway's process dies."""
        seat = self.seats[index]
        seat.up = False
        for ask in seat.asks.values():
            for node, job in ask.out.values():
                node.cancel(job)
            if not ask.ended:
                self.died(ask)

    def rise(self, index: int) -> None:
        """A new process starts in its place."""
        self.seats[index] = self._seat(index, self._entries())

    def _entries(self) -> tuple[api.ServerEntry, ...]:
        return tuple(self.entry(node) for node in self.nodes)

    def _seat(self, index: int, entries: tuple[api.ServerEntry, ...]) -> Desk:
        """A new process, told all nodes as they are."""
        seed = self.seeds["gateways"] + index + int(self.now) * 1000
        seat = Desk(index, self.make(self.spec.settings(index), seed))
        self.list_reads[int(self.now // 1000)] += 1
        self._tell(seat, api.ServerList(api.ListKind.CACHED, entries))
        self._tell(seat, api.ServerList(api.ListKind.FULL, entries))
        return seat

    def _tell(self, seat: Desk, event: api.Event) -> None:
        if not seat.up:
            return
        if isinstance(event, api.ServerList):
            self.oracle.told(self.now, seat.index, event.entries)
        for action in seat.policy.handle(self.now, event):
            self._act(seat, action)

    def _act(self, seat: Desk, action: api.Action) -> None:
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

    def _timer(self, which: tuple[Desk, int]) -> None:
        seat, token = which
        self._tell(seat, api.TimerFired(token))

    # ---- Attempts

    def _send(self, seat: Desk, action: api.Send) -> None:
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
            self.work(ask.kind),
            lambda job, status: self._done(seat, ask, node, job, status),
        )
        ask.out[number] = (node, job)
        ask.sent_at.append(self.now)
        self.oracle.sent(self.now, seat.index, ask, node, ask.inside)
        wait = min(ask.gives_up - self.now, action.timeout_ms or ask.gives_up)
        self.later(wait, self._timed_out, (seat, ask, number))
        if self.apart(seat, node):
            self.later(
                self.spec.network.connect_timeout_ms,
                self._ended,
                (seat, ask, number, api.Status.CONNECT_FAILED, job),
            )
        else:
            self.later(
                self.way(seat.index % self.spec.nodes.zones, node.zone), self._arrives, (seat, ask, number)
            )

    def _connection(self, seat: Desk, node: Node) -> None:
        """Take one that rests at this gateway and still leads to the node's process, or open one."""
        idle = seat.idle.get(node.number, [])
        while idle:
            since, epoch = idle.pop()
            if epoch == node.epoch and self.now - since < IDLE_MS:
                return
        self.connects[int(self.now // 1000)] += 1

    def _not_sent(self, which: tuple[Desk, ClientTry, int, int]) -> None:
        seat, ask, number, server = which
        self._tell(seat, api.Outcome(ask.name, number, server, api.Status.NOT_SENT, 0.0, ask.ended))
        self._drop_if_done(seat, ask)

    def _arrives(self, which: tuple[Desk, ClientTry, int]) -> None:
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
            self.count_use(ask)
        status = node.take(job, self.streams["work"].random())
        if status is not None:
            self._done(seat, ask, node, job, status)

    def _done(self, seat: Desk, ask: ClientTry, node: Node, job: Job, status: api.Status) -> None:
        if not self.apart(seat, node):
            self.later(
                self.way(seat.index % self.spec.nodes.zones, node.zone),
                self._ended,
                (seat, ask, job.number, status, job),
            )

    def _ended(self, which: tuple[Desk, ClientTry, int, api.Status, Job]) -> None:
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
                self.used_percent(ask.customer) if heard else None,
                None,
                node.load() if heard else None,
            ),
        )
        self._drop_if_done(seat, ask)

    def _timed_out(self, which: tuple[Desk, ClientTry, int]) -> None:
        seat, ask, number = which
        if number in ask.out:
            self._stop(seat, ask, number, api.Status.TIMEOUT)

    def _cancel(self, seat: Desk, action: api.Cancel) -> None:
        ask = seat.asks.get(action.request_id)
        if ask and action.attempt in ask.out:
            self.later(0.0, self._cancelled, (seat, ask, action.attempt))

    def _cancelled(self, which: tuple[Desk, ClientTry, int]) -> None:
        seat, ask, number = which
        if number in ask.out:
            self._stop(seat, ask, number, api.Status.CANCELLED)

    def _stop(self, seat: Desk, ask: ClientTry, number: int, status: api.Status) -> None:
        node, job = ask.out[number]
        if not self.apart(seat, node):
            node.cancel(job)
        self._ended((seat, ask, number, status, job))

    # ---- Clients

    def taken(self, seat: Desk, ask: ClientTry) -> None:
        """A client's try has reached its gateway."""
        self.note("ask", seat.index, ask.name, ask.customer.number, ask.kind.name)
        self.oracle.taken(self.now, seat.index, ask)
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

    def _given_up(self, which: tuple[Desk, ClientTry]) -> None:
        """The client's time is up; what is still in hand then has been lost by the gateway."""
        seat, ask = which
        if not ask.ended and seat.up:
            self.oracle.unanswered(self.now, ask)
            self._gone(seat, ask)

    def leave(self, ask: ClientTry) -> None:
        """A client closes its connection, if it still waits."""
        seat = self.seats[ask.gateway]
        if not ask.ended and seat.asks.get(ask.name) is ask:
            self.oracle.left(ask)
            self._gone(seat, ask)

    def _gone(self, seat: Desk, ask: ClientTry) -> None:
        ask.ended = True
        self.note("gone", seat.index, ask.name)
        self._tell(seat, api.ClientGone(ask.name))
        self._drop_if_done(seat, ask)

    def _answer(
        self, seat: Desk, name: str, what: str, advice_ms: float = 0.0, over_quota: bool = False
    ) -> None:
        ask = seat.asks.get(name)
        if ask is None or ask.ended:
            self.oracle.broken("answered twice", name)
            return
        self.settle(seat, ask, what, advice_ms, over_quota)
        self._drop_if_done(seat, ask)

    def _drop_if_done(self, seat: Desk, ask: ClientTry) -> None:
        if ask.ended and not ask.out:
            seat.asks.pop(ask.name, None)
