"""Every decision of the gateway. Its types (settings, events, actions) stand in interface.py.

The path of a request, from top to bottom of ``Gateway``:
  _on_request  unknown names are refused; the customer's leaky bucket says send, hold or refuse
  _release     after a hold, or at once: the in-flight cap, the ceiling, a server; else it is parked
  _send        an attempt goes out; its server, its customer and the budgets are charged
  _on_outcome  health is judged, the meter read; a failed attempt is sent again or answered
  _answer      refused where a retry is proven harmless, else failed; once, before the deadline
Parked requests are tried again whenever an attempt ends or the list of servers changes.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from math import exp, inf
from typing import Any

from brackenloft.interface import (
    HERE,
    Action,
    Allowance,
    Cancel,
    ClientGone,
    DiscoveryMode,
    Effect,
    Event,
    Fail,
    KeyScope,
    ListKind,
    Log,
    Outcome,
    Plan,
    ProbeResult,
    Refuse,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Status,
    Stopping,
    StreamStarted,
    Subscribe,
    TimerFired,
)
from brackenloft.policy.crowd import Crowd

# Meter and slices
THOUSANDTHS = 1000.0  # of a unit, the unit of the excess
GROWTH = 0.1  # share of the room given out: the meter is late, and all gateways rise on one figure
WORTH_BURST = 0.25  # by which the burst grows for a class of endless worth, to have what others leave
CHEAP_HOLD = 0.1  # of the shortest aim, for which the least worthy class is held: the worthier wait longer
THIN_BURST = 2.0  # requests by which an unused thin slice's burst grows: two by chance are no abuse
NEWS_PERIODS = 4.0  # meter periods a reading stays news: the period, its lateness, a gap in traffic

# Time
ANSWER_TICKS = 2.0  # ticks before the client's deadline of the last answer: one to fire, one to spare
ASK_SHARE = 0.5  # of the time in which discovery must be asked: room for one failed call

# Servers
FIRST_LATENCY = 0.2  # of a class's aim: its latency until answers have been seen
LATENCY_STEP = 0.03  # weight of one answer in a class's mean latency: some thirty answers of memory
SERVER_STEP = 0.15  # weight of one answer in a server's relative latency: some seven answers of memory
FADE_MS = 4000.0  # time constant with which figures fade, so that a server is tried again; but see _fade
QUEUE_WEIGHT = 1.0  # requests out that one reported as waiting stands for
CROSS_WEIGHT = 10.0  # how many times its price a zone crossing weighs against a mean latency
SPREAD = 0.1  # share of a cost drawn at random, so that gateways with the same reports do not choose alike

# Pressure: how much may be out from here at all servers together, found by what answers show
FIRST_LIMIT = 6.0  # attempts out at a server, over all gateways, before anything is known of it
POOL_GROWTH = 0.035  # attempts by which a quick answer lifts a pool that is used up: thirty lift it by one
POOL_CUT = 0.3  # attempts that a slow answer takes off: one slow answer in ten holds the pool level
MOST_PARKED = 1000  # while there is no server to tell how many may wait: some seconds of work at hand
LEAST_POOL = 0.3  # attempts out, a share of requests below one: the pool must see answers to recover
QUICK = 0.3  # of the aim: answers faster than this lift the pool
SLOW = 0.5  # of the aim: answers slower than this cut the pool, and attempts out so long are doubtful

# Health: the share of failures that a server shows, apart for its class and for its plan
DOUBT_COST = 6.0  # mean latencies that a failure costs beside a wait: most of a request's worth is lost
DOUBT_PRIOR = 1.0  # answers that the share seen at all servers weighs against a server's own
LOST = 8.0  # mean latencies after which an answer hardly comes: three in ten thousand, if exponential
DOUBTED = 0.5  # share of failures from which a slow attempt is taken elsewhere, and a line is logged
SAMPLE = 10  # servers compared for a request, drawn at random, beside as many that answered it quickly last

# Cold servers
COLD_SAFETY = 0.33  # of the tipping budget that a full fleet's even share may use: chance and heavy requests

# Attempts
RETRY_SHARE = 0.2  # further attempts per first one, over time: bounds what failures can add to the load
RETRY_STORE = 10.0  # further attempts saved up at most


Moment = tuple[float, int]  # the time, and how many attempts had been sent from here
Mark = tuple[float, float, Moment]  # failures and all outcomes, both faded, and when they were noted
NEVER: Moment = (-inf, 0)


class Customer:
    """What this gateway knows of one customer: its excess, its late metered use, what it has out."""

    __slots__ = ("excess", "touched", "largest", "width", "used", "used_at", "out", "ceiling", "ceiling_at",
                 "asked", "asked_at")

    def __init__(self, now: float, ceiling: float) -> None:
        self.excess, self.touched, self.largest, self.width = 0.0, now, 0.0, 1
        self.used, self.used_at = 0.0, -inf
        self.asked, self.asked_at = 0.0, now  # an excess that counts what was refused as well
        self.out = 0
        self.ceiling, self.ceiling_at = ceiling, now


class Server:
    """What this gateway knows of one server."""

    __slots__ = ("id", "zone", "cell", "ready", "started", "out", "ratio", "ratio_at", "queue", "queue_at",
                 "marks", "phase")

    def __init__(self, entry: ServerEntry, phase: float) -> None:
        self.phase = phase
        self.id = entry.server
        self.out: set[tuple[str, int]] = set()  # attempts out
        self.reset()
        self.update(entry)

    def reset(self) -> None:
        """Forget what a process that is gone has shown."""
        self.ratio, self.ratio_at, self.queue, self.queue_at = 1.0, NEVER, 0.0, NEVER
        self.marks: dict[str, Mark] = {}

    def update(self, entry: ServerEntry) -> None:
        """Take over what discovery says."""
        self.zone, self.cell, self.started = entry.zone, entry.cell, entry.started_ms
        self.ready = entry.state is ServerState.READY


class Flight:
    """A request in hand: held, parked or out, or answered with attempts still out."""

    __slots__ = ("request", "kind", "plan", "customer", "arrived", "deadline", "sends", "out", "tried",
                 "closed", "maybe_ran", "streaming", "waiting", "turn", "keys", "timers")

    def __init__(
        self, request: Request, kind: RequestClass, plan: Plan, customer: Customer, now: float,
        turn: float,
    ) -> None:
        self.request, self.kind, self.plan, self.customer = request, kind, plan, customer
        self.arrived, self.deadline = now, now + request.patience_ms
        self.keys = ("", f"class {kind.name}", f"class {kind.name} of plan {plan.name}")
        self.sends, self.turn = 0, turn  # the turn says which cold servers it may go to, once for all
        self.out: dict[int, tuple[Server, float]] = {}
        self.tried: set[int] = set()
        self.closed = self.streaming = False
        self.timers: list[int] = []  # tokens of those that are for this request alone
        self.waiting = False  # for the end of a hold; the bucket's timer releases it
        self.maybe_ran: tuple[Server, float] | None = None  # the first attempt that may have run


class Gateway:
    """One gateway's decisions. Feed events in order; carry out the actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {item.name: item for item in settings.classes}
        self.plans = {item.name: item for item in settings.plans}
        self.customers: dict[tuple[str, str], Customer] = {}
        self.servers: dict[int, Server] = {}
        self.here = Server(ServerEntry(HERE, settings.zone), 0.0)  # the host that serves the work itself
        self.flights: dict[str, Flight] = {}
        self.parked: dict[str, Flight] = {}
        self.timers: dict[int, tuple[Callable[[Any], None], Any]] = {}
        self.tokens, self.now, self.started_at, self.ends_at = 0, -inf, inf, inf
        worths = [item.worth for item in settings.classes]
        self.cheap = min(worths) if min(worths) < max(worths) else 0.0  # the least worth, where worths differ
        self.shortest = min(item.aim_ms for item in settings.classes)
        self.latency = {item.name: item.aim_ms * FIRST_LATENCY for item in settings.classes}
        self.retries = RETRY_STORE
        self.young: set[tuple[str, int]] = set()  # attempts out that are not slow yet: what the pool counts
        self.pool = inf  # until the first list
        self.marks: dict[str, Mark] = {}  # of all servers together, those of no class by zone
        self.quick: dict[str, dict[int, Server]] = {item.name: {} for item in settings.classes}
        self.sends = 0
        self.ready: list[Server] = []
        self.cold: list[Server] = []
        self.crowd = Crowd()
        self.logged: set[str] = set()
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            Request: self._on_request, Outcome: self._on_outcome, TimerFired: self._on_timer,
            ServerList: self._on_list, ClientGone: self._on_gone, StreamStarted: self._on_stream,
            ProbeResult: self._on_probe, Stopping: self._on_stopping,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Decide on one event at this time; times never go back."""
        if not now_ms >= self.now:
            raise ValueError(f"now_ms: {now_ms!r} is before {self.now!r}")
        self.now, self.actions = now_ms, []
        self.started_at = min(self.started_at, now_ms)
        handler = self.handlers.get(type(event))
        if handler:
            handler(event)
        return self.actions

    # ---- Meter and slices

    def _customer(self, request: Request, plan: Plan) -> Customer:
        """The customer's state, as the last touched; the longest untouched is forgotten once it is as new."""
        key = (request.plan, request.customer)
        customer = self.customers.pop(key, None)
        if customer is None:
            customer = Customer(self.now, self._fresh_ceiling(plan, request.width))
        customer.width = min(request.width, self.settings.gateways)
        customer.largest = max(customer.largest, request.units)
        self.customers[key] = customer
        self._forget(customer)
        return customer

    def _forget(self, current: Customer) -> None:
        """Keeps the state bounded: each request brings one customer at most and may take two away.

        One that can't be forgotten yet is looked at again in its turn. Guards against one that is slow to
        drain, or has an attempt out for long, and keeps all behind it.
        """
        for _ in range(2):
            key = next(iter(self.customers))
            old, plan = self.customers[key], self.plans[key[0]]
            if old is current:
                return
            idle = self.now - max(old.touched, old.used_at)
            drained = old.excess <= plan.rate / old.width * idle
            full = self._ceiling_level(old, plan) >= self._fresh_ceiling(plan, old.width)
            recent = idle < NEWS_PERIODS * self.settings.meter_period_ms
            if recent and drained and full and not old.out:
                return  # those behind it have been seen later, or are looked at again before long
            del self.customers[key]
            if old.out or recent or not drained or not full:
                self.customers[key] = old

    def _drain_ms(self, customer: Customer, plan: Plan) -> float:
        """How long the even slice takes to drain the customer's largest request."""
        return customer.largest * customer.width * THOUSANDTHS / plan.rate if plan.rate else 0.0

    def _drained(self, customer: Customer, plan: Plan) -> float:
        """Units the even slice has drained of what the customer asked here."""
        return plan.rate * (self.now - customer.asked_at) / customer.width / THOUSANDTHS

    def _thin(self, customer: Customer, plan: Plan) -> bool:
        """Whether the even slice is less than a request, in its burst and in all the time that news lasts.

        Under thin slices what every gateway lets pass at first adds up to many times the quota, and no
        gateway hears of the customer often enough to see it. Exceptions that act there, and only there:
        a marked retry is refused, as it was most likely refused elsewhere for being over quota; and the
        last reading stays news until a request has drained, its room growing the burst while the customer
        asks no more here than its slice and two requests: a low reading of one held back is no room.
        Guards against customers far over quota that try each gateway in turn. Harm: a retry after a failure
        is refused too.
        """
        thin = plan.burst < customer.largest * customer.width
        return thin and self._drain_ms(customer, plan) > NEWS_PERIODS * self.settings.meter_period_ms

    def _room(self, customer: Customer, lasts_ms: float) -> float:
        """The room that the late reading leaves; none at or over quota, or when it is no news any more."""
        return max(0.0, 1.0 - customer.used) if self.now - customer.used_at <= lasts_ms else 0.0

    def _share(self, customer: Customer) -> float:
        """The slice of the quota: the even floor, and the even part of the room that fresh news leaves."""
        room = self._room(customer, NEWS_PERIODS * self.settings.meter_period_ms)
        return min(1.0, (1.0 + GROWTH * room) / customer.width)

    def _worthier(self, kind: RequestClass) -> float:
        """By how much the burst is larger for a class: nothing for the least worthy.

        Guards against a customer beyond its quota who fills it with what is worth least: an excess near the
        burst is open to the worthier classes alone. Harm: it passes the quota by that much at first.
        """
        return 1.0 + WORTH_BURST * (1.0 - self.cheap / kind.worth) if self.cheap else 1.0

    def _meter(self, customer: Customer, plan: Plan, kind: RequestClass, units: float) -> float:
        """Milliseconds to hold the request, inf to refuse it; the excess is stored unless it is refused."""
        if not plan.rate:
            return 0.0
        share = self._share(customer)
        rate = plan.rate * share
        burst = max(plan.burst / customer.width, customer.largest) * THOUSANDTHS
        drained = self._drained(customer, plan)
        customer.asked, customer.asked_at = max(0.0, customer.asked - drained) + units, self.now
        if self._thin(customer, plan) and customer.asked <= THIN_BURST * customer.largest:
            burst *= 1.0 + THIN_BURST * self._room(customer, self._drain_ms(customer, plan))
        burst *= self._worthier(kind)
        elapsed = self.now - customer.touched
        excess = max(0.0, customer.excess - rate * elapsed + THOUSANDTHS * units)
        if excess > 2.0 * burst:
            return inf
        customer.excess, customer.touched = excess, self.now
        return max(0.0, excess - burst) / rate

    def _useful(self, kind: RequestClass) -> float:
        """How long a hold may last: for an answer within the shortest aim, and less for the least worthy.

        Guards against sending on what earns nothing, as a band of one burst may last seconds longer than
        the aim, and against a class that wins the quota by waiting longest: reads with twice the aim of
        posts were served whole and posts four fifths. Harm: a class with a long aim, or that earns much
        after it, is refused what it could have had.
        """
        if kind.worth == self.cheap:
            return CHEAP_HOLD * self.shortest
        return self.shortest - self.latency[kind.name]

    def _advice(self, customer: Customer, plan: Plan, units: float) -> float:
        """When a request refused for the quota may come again: when the bucket has drained for it."""
        limits = self.settings.limits
        if not limits.can_advise_retry:
            return 0.0
        rate = plan.rate * self._share(customer)
        burst = max(plan.burst / customer.width, customer.largest) * THOUSANDTHS
        excess = customer.excess - rate * (self.now - customer.touched) + THOUSANDTHS * units
        return min(limits.max_retry_after_ms, max(0.0, excess - burst) / rate)

    def allowance(self, plan_name: str, customer_name: str, width: int = 1) -> Allowance:
        """What a customer could have now; changes nothing. KeyError: there is no such plan."""
        plan = self.plans[plan_name]
        if not plan.rate:
            return Allowance(0.0, 0.0, 0.0, 0.0)
        customer = self.customers.get((plan_name, customer_name))
        if customer is None:
            return Allowance(plan.burst / width, plan.burst, plan.rate, 0.0)
        rate = plan.rate * self._share(customer)
        burst = max(plan.burst / customer.width, customer.largest) * THOUSANDTHS
        excess = max(0.0, customer.excess - rate * (self.now - customer.touched))
        return Allowance(max(0.0, burst - excess) / THOUSANDTHS, plan.burst, plan.rate, excess / rate)

    def _settle(self, customer: Customer, guess: float, true: float) -> None:
        """Put a guess right once the answer tells the units."""
        customer.excess = max(0.0, customer.excess + THOUSANDTHS * (true - guess))

    # ---- Quota guards

    def _in_flight_cap(self, flight: Flight) -> float:
        """This gateway's slice of the attempts a customer may have out at once, at least one."""
        cap = flight.plan.max_in_flight
        return max(1, int(cap * self._share(flight.customer))) if cap else inf

    def _fresh_ceiling(self, plan: Plan, width: int) -> float:
        """The ceiling's share of a customer not seen since the start: unknown history starts at nought."""
        return min(plan.ceiling_burst, plan.ceiling_rate * (self.now - self.started_at) / 1000.0) / width

    def _ceiling_level(self, customer: Customer, plan: Plan) -> float:
        refill = plan.ceiling_rate / customer.width * (self.now - customer.ceiling_at) / 1000.0
        return min(plan.ceiling_burst / customer.width, customer.ceiling + refill)

    def _ceiling_wait(self, flight: Flight) -> float:
        """Milliseconds until this gateway's share of the hard ceiling holds the request's units."""
        if not flight.plan.ceiling_rate:
            return 0.0
        customer, units = flight.customer, flight.request.units
        if units > flight.plan.ceiling_burst / customer.width:
            return inf
        short = units - self._ceiling_level(customer, flight.plan)
        return max(0.0, short) * 1000.0 * customer.width / flight.plan.ceiling_rate

    def _draw_ceiling(self, flight: Flight) -> None:
        if flight.plan.ceiling_rate:
            customer = flight.customer
            customer.ceiling = self._ceiling_level(customer, flight.plan) - flight.request.units
            customer.ceiling_at = self.now

    # ---- Server choice and health

    def _fade(self, then: Moment) -> float:
        """What is left of a figure: it fades with time, but not before each server could be met again."""
        age = min((self.now - then[0]) / FADE_MS, (self.sends - then[1]) / max(1, len(self.servers)))
        return exp(-age)

    def _mark(self, server: Server, key: str, failed: bool, why: str = "") -> None:
        """Note how an attempt went, for its server and for all."""
        for marks, name in ((server.marks, key), (self.marks, key or server.zone)):
            bad, seen, then = marks.get(name, (0.0, 0.0, NEVER))
            fade = self._fade(then)
            marks[name] = (bad * fade + failed, seen * fade + 1.0, (self.now, self.sends))
        if failed and self._share_failed(server, key) >= DOUBTED:
            self._log_once(f"server {server.id} doubted{' for ' if key else ''}{key}: {why}")

    def _share_failed(self, server: Server, key: str) -> float:
        """The share of failures expected at a server: its own, and all servers' while it shows little."""
        bad_all, seen_all, _ = self.marks.get(key or server.zone, (0.0, 0.0, NEVER))
        prior = DOUBT_PRIOR * bad_all / (seen_all + 1.0)
        bad, seen, then = server.marks.get(key, (0.0, 0.0, NEVER))
        fade = self._fade(then) if seen else 0.0
        return (bad * fade + prior) / (seen * fade + DOUBT_PRIOR)

    def _doubt(self, flight: Flight, server: Server) -> float:
        """How likely the request fails there.

        Guards against silent, half-working and refusing servers, whether all requests suffer or those of
        one class or plan: who was answered there goes there again, who was not goes elsewhere, and while
        many fail, servers not tried yet come after those that answered. Nothing is closed: the best of bad
        servers still gets work. Harm: slow answers by chance turn requests away from a good server.
        """
        return max(self._share_failed(server, key) for key in flight.keys)

    def _cost(self, flight: Flight, server: Server) -> float:
        """The wait expected at a server, in mean latencies."""
        load = 1.0 + len(server.out) + QUEUE_WEIGHT * server.queue * self._fade(server.queue_at)
        ratio = 1.0 + (server.ratio - 1.0) * self._fade(server.ratio_at)
        cost = ratio * load * (1.0 + DOUBT_COST * self._doubt(flight, server))
        cost *= self._warmth(server)  # who comes in the turn of a cold server should take it
        if server.zone != self.settings.zone:
            cost *= 1.0 + CROSS_WEIGHT * self.settings.cross_zone_price
        return cost * (1.0 + SPREAD * self.random.random())

    def _choose(self, flight: Flight) -> Server | None:
        """The best of some servers: ready, in the request's group, cold only in its turn, not yet tried."""
        if flight.request.served_here:
            return None if flight.sends else self.here
        if not flight.sends and len(self.young) >= self.pool - flight.turn:
            return None  # a pool of 1.4: one out for each request, a second for four in ten
        few = self.ready
        if flight.sends:
            few = [s for s in few if s.id not in flight.tried and self._in_group(flight, s)]
            if not few and flight.kind.effect is Effect.KEYED:
                few = [s for s in self.ready if self._in_group(flight, s)]
        if len(few) > 2 * SAMPLE:
            quick = [s for s in self.quick[flight.kind.name].values() if not flight.sends or s in few]
            few = self.random.sample(few, SAMPLE) + quick + (self.cold if not flight.sends else [])
        few = [s for s in few if s.ready and self._cold_turn(flight, s)]
        return min(few, key=lambda server: self._cost(flight, server), default=None)

    def _in_group(self, flight: Flight, server: Server) -> bool:
        """Whether the request may go to this server, by what may have run already."""
        if flight.maybe_ran is None or flight.kind.effect is Effect.SAFE:
            return True
        if flight.kind.effect is Effect.UNSAFE:
            return False
        first, sent = flight.maybe_ran
        if self.now - sent >= flight.kind.key_memory_ms:
            return False
        scope = flight.kind.key_scope
        return scope is KeyScope.ALL or (
            server.zone == first.zone and (scope is KeyScope.ZONE or server.cell == first.cell))

    def _judge(self, flight: Flight, server: Server, status: Status) -> None:
        """Note an outcome; attempts that wait in vain are noted as they become slow.

        A server that turns one away as full may do so to its class and plan alone, and others go on there.
        """
        whole, kind, both = flight.keys
        if status is Status.OK:
            for key in flight.keys:
                self._mark(server, key, failed=False)
        elif status is Status.ERROR:
            self._mark(server, kind, failed=True, why=status.value)
        elif status is Status.FULL:
            self._mark(server, both, failed=True, why=status.value)
        elif status in (Status.CONNECT_FAILED, Status.RESET):
            self._mark(server, whole, failed=True, why=status.value)

    def _press(self, server: Server, kind: RequestClass, event: Outcome) -> None:
        """What may be out from here at all servers together, moved by every answer.

        Guards against any cause that makes servers slower than the aim: overload, neighbours, costly
        requests, queues that fill. It sums over all gateways, however many: a limit of one at each server
        would be hundreds, and each gateway meets a server once in seconds. Silent attempts leave it as they
        become slow, so that servers that hang don't stop the rest. Harm: few slow servers hold all back a
        little; where single requests take most of the aim by nature, it keeps too little out.
        """
        if event.status is not Status.OK:
            return
        known = self.quick[kind.name]
        known.pop(server.id, None)
        if event.latency_ms > SLOW * kind.aim_ms:
            self.pool = max(LEAST_POOL, self.pool - POOL_CUT * min(1.0, self.pool))
        elif event.latency_ms < QUICK * kind.aim_ms:
            known[server.id] = server
            if len(known) > SAMPLE:
                del known[next(iter(known))]
            if len(self.young) + 2 >= self.pool:  # the one that ended and one more would not have fitted
                self.pool += POOL_GROWTH

    def _on_slow(self, which: tuple[Flight, int]) -> None:
        """An attempt still out when it is slow tells so before its answer does; it may be taken elsewhere."""
        flight, number = which
        self.young.discard((flight.request.request_id, number))
        if number not in flight.out:
            return
        server, sent = flight.out[number]
        if flight.streaming:
            return
        self._mark(server, flight.keys[1], failed=True, why="silent")
        self._arm((1.0 - SLOW) * flight.kind.aim_ms, self._on_late, which, flight)
        doubted = self._lost(flight, sent) or self._share_failed(server, flight.keys[1]) >= DOUBTED
        if flight.kind.effect is Effect.UNSAFE or flight.closed or len(flight.out) > 1 or not doubted:
            return
        if flight.maybe_ran is None:
            flight.maybe_ran = (server, sent)
        if not self._may_resend(flight) or len(self.young) >= self.pool:
            return
        other = self._choose(flight)
        if other and other is not server and self.settings.limits.may_duplicate:
            self._send(flight, other)
        elif other and self.settings.limits.can_cancel:
            self.actions.append(Cancel(flight.request.request_id, number))

    def _lost(self, flight: Flight, sent: float) -> bool:
        """Whether an attempt has been out for so long that its answer will hardly come any more."""
        return self.now - sent >= LOST * self.latency[flight.kind.name]

    def _on_late(self, which: tuple[Flight, int]) -> None:
        """An attempt still out after the aim, and lost: the request is given up.

        Guards against connections that fell silent: each would hold a place of its customer's in-flight cap
        until the client's time is up. Harm: an answer that would have come late is not waited for.
        """
        flight, number = which
        if number in flight.out and not flight.streaming and self._lost(flight, flight.out[number][1]):
            self._answer(flight)

    def _learn(self, server: Server, kind: RequestClass, latency: float) -> None:
        """Mean latency of the class and relative latency of the server, from one good answer."""
        mean = self.latency[kind.name]
        self.latency[kind.name] = mean + LATENCY_STEP * (latency - mean)
        ratio = 1.0 + (server.ratio - 1.0) * self._fade(server.ratio_at)
        server.ratio = ratio + SERVER_STEP * (latency / mean - ratio)
        server.ratio_at = (self.now, self.sends)

    def _report(self, server: Server, load: tuple[float, ...] | None) -> None:
        if load:
            report = dict(zip(self.settings.load_fields, load, strict=False))
            server.queue, server.queue_at = report.get("queue") or 0.0, (self.now, self.sends)

    # ---- Cold servers (a part of choice: who may be sent how much)

    def _warmth(self, server: Server) -> float:
        """The share of its capacity that a server has at least, by the time since its start."""
        rules = self.settings.contract
        age = self.now - server.started
        if server.started <= 0 or age >= rules.warm_up_ms:
            return 1.0
        return rules.cold_share + (1.0 - rules.cold_share) * max(0.0, age) / rules.warm_up_ms

    def _cold_turn(self, flight: Flight, server: Server) -> bool:
        """Whether this request may go to a cold server: only in its turn, drawn once for each request.

        Guards against pushing a cold server over: of all requests at all gateways it is open to its even
        share times its least warmth at most, however good it looks, however often a request asks again,
        whatever the number of gateways. It also spreads the burst after a list change. Harm: where most
        servers are cold at once, requests wait or are refused though the multiple would allow more.
        """
        warmth = self._warmth(server)
        share = min(1.0, COLD_SAFETY * self.settings.contract.tip_multiple) * warmth / len(self.ready)
        return warmth >= 1.0 or (flight.turn + server.phase) % 1.0 < share

    # ---- Attempts

    def _send(self, flight: Flight, server: Server) -> None:
        request, number = flight.request, flight.sends
        if number == 0:
            self._draw_ceiling(flight)
        if server is self.here:
            flight.sends, flight.out[0] = 1, (server, self.now)
            flight.streaming = True  # the host's now, and without a deadline
            flight.customer.out += 1
            self.actions.append(Send(request.request_id, HERE))
            return  # nothing of it tells of servers: no pool, no marks, no budget of further attempts
        if number == 0:
            self.retries = min(RETRY_STORE, self.retries + RETRY_SHARE)
        else:
            self.retries -= 1.0
        flight.sends += 1
        flight.tried.add(server.id)
        flight.out[number] = (server, self.now)
        flight.customer.out += 1
        server.out.add((request.request_id, number))
        self.sends += 1
        self.young.add((request.request_id, number))
        self.actions.append(Send(request.request_id, server.id))
        self._arm(SLOW * flight.kind.aim_ms, self._on_slow, (flight, number), flight)

    def _may_resend(self, flight: Flight) -> bool:
        return flight.sends < self.settings.limits.max_attempts and self.retries >= 1.0

    def _on_outcome(self, event: Outcome) -> None:
        flight = self.flights.get(event.request_id)
        if flight is None or event.attempt not in flight.out:
            return
        server, sent = flight.out.pop(event.attempt)
        server.out.discard((event.request_id, event.attempt))
        self.young.discard((event.request_id, event.attempt))
        flight.customer.out -= 1
        if server is not self.here:
            self._judge(flight, server, event.status)
            self._press(server, flight.kind, event)
            self._report(server, event.load)
        if event.used_percent is not None:
            flight.customer.used, flight.customer.used_at = event.used_percent / 100.0, self.now
        if event.status is Status.OK:
            if server is not self.here:
                self._learn(server, flight.kind, event.latency_ms)
            if event.final_units is not None and not flight.closed:
                self._settle(flight.customer, flight.request.units, event.final_units)
        if event.closed or event.status is Status.OK:
            flight.closed = True
        if not flight.closed:
            self._again(flight, event.status, (server, sent))
        self._drop_if_done(flight)
        self._retry_parked()

    def _again(self, flight: Flight, status: Status, attempt: tuple[Server, float]) -> None:
        """After a failed attempt: another one where class, budget and time allow it, else the answer."""
        if status not in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT) and flight.maybe_ran is None:
            flight.maybe_ran = attempt
        if flight.out or flight.streaming:
            return
        if status is not Status.NOT_SENT and self.now < flight.deadline and self._may_resend(flight):
            server = self._choose(flight)
            if server:
                self._send(flight, server)
                return
        self._answer(flight)

    def _answer(self, flight: Flight) -> None:
        """The final answer: a refusal where a retry is proven harmless, else a failure."""
        if flight.closed:
            return
        flight.closed = True
        request_id = flight.request.request_id
        unproven = flight.maybe_ran is not None or bool(flight.out)
        keyed_all = flight.kind.effect is Effect.KEYED and flight.kind.key_scope is KeyScope.ALL
        if flight.kind.effect is Effect.SAFE or keyed_all or not unproven:
            self.actions.append(Refuse(request_id))
        else:
            self.actions.append(Fail(request_id))
        self._refund(flight)
        self._withdraw(flight)
        self._drop_if_done(flight)

    def _withdraw(self, flight: Flight) -> None:
        if self.settings.limits.can_cancel:
            self.actions.extend(Cancel(flight.request.request_id, number) for number in flight.out)

    def _refund(self, flight: Flight) -> None:
        """A request that was never sent on leaves no excess: guards against holds of clients that left."""
        if flight.sends == 0:
            self._settle(flight.customer, flight.request.units, 0.0)

    def _drop_if_done(self, flight: Flight) -> None:
        if flight.closed:
            self.parked.pop(flight.request.request_id, None)
            if not flight.out:
                self.flights.pop(flight.request.request_id, None)
                for token in flight.timers:  # guards against keeping it until the last of them is due
                    self.timers.pop(token, None)
                flight.timers.clear()

    def _on_gone(self, event: ClientGone) -> None:
        flight = self.flights.get(event.request_id)
        if flight and not flight.closed:
            flight.closed = True
            self._refund(flight)
            self._withdraw(flight)
            self._drop_if_done(flight)

    def _on_stream(self, event: StreamStarted) -> None:
        flight = self.flights.get(event.request_id)
        if flight:
            flight.streaming = True

    def _on_probe(self, event: ProbeResult) -> None:
        server = self.servers.get(event.server)
        if server:
            self._report(server, event.load)

    # ---- Discovery

    def _on_list(self, event: ServerList) -> None:
        if self.settings.discovery is DiscoveryMode.ASK:
            self._ask(event.kind)
        if event.kind is ListKind.FAILED:
            return
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            listed = {entry.server for entry in event.entries}
            self._remove(id for id in list(self.servers) if id not in listed)
        for entry in event.entries:
            self._take_entry(entry)
        self.ready = [server for server in self.servers.values() if server.ready]
        self.cold = [server for server in self.ready if self._warmth(server) < 1.0]
        if event.kind is ListKind.CACHED:
            self.pool = FIRST_LIMIT * len(self.servers) / self.settings.gateways
        self._retry_parked()

    def _ask(self, kind: ListKind) -> None:
        """Subscribe at the start and after a failure; ask again well within the time the rules give."""
        if kind in (ListKind.CACHED, ListKind.FAILED):
            again = self.settings.contract.ask_within_ms * ASK_SHARE
            delay = 0.0 if kind is ListKind.CACHED else again
            self._arm(delay, lambda _: self.actions.append(Subscribe(True)), None)

    def _take_entry(self, entry: ServerEntry) -> None:
        server = self.servers.get(entry.server)
        if entry.state is ServerState.GONE:
            self._remove([entry.server])
        elif server is None:
            self.servers[entry.server] = Server(entry, self.random.random())
        else:
            if entry.started_ms > server.started:
                server.reset()
            server.update(entry)

    def _remove(self, ids: Iterable[int]) -> None:
        for server_id in list(ids):
            server = self.servers.pop(server_id, None)
            if server:
                server.ready = False

    # ---- Dispatch

    def _on_request(self, event: Request) -> None:
        kind, plan = self.classes.get(event.class_name), self.plans.get(event.plan)
        if event.request_id in self.flights:
            return  # it is in hand already, and may have run: a refusal here would be its answer
        if kind is None or plan is None:
            self._log_once(f"refused: unknown class {event.class_name!r} or plan {event.plan!r}")
            self.actions.append(Refuse(event.request_id))
            return
        late = event.age_ms and event.age_ms + self.latency[kind.name] >= kind.aim_ms
        if late or event.scarcity and self._crowded_out(event, kind, plan):
            self.actions.append(Refuse(event.request_id))
            return
        customer = self._customer(event, plan)
        if event.is_retry and self._thin(customer, plan):
            self.actions.append(Refuse(event.request_id, over_quota=True))
            return
        flight = Flight(event, kind, plan, customer, self.now, self.random.random())
        before = customer.excess, customer.touched
        hold = self._meter(customer, plan, kind, event.units)
        if hold and hold >= min(event.patience_ms, self._useful(kind)):
            customer.excess, customer.touched = before
            self.actions.append(Refuse(event.request_id, self._advice(customer, plan, event.units), True))
            return
        self.flights[event.request_id] = flight
        if event.served_here and not hold:
            self._release(flight)
            if flight.sends:
                return  # the host's now: no deadline
        self._limit(flight)
        if event.served_here and not hold:
            return
        if hold > 0.0:
            flight.waiting = True
            self._arm(hold, self._end_hold, flight, flight)
        else:
            self._release(flight)

    def _crowded_out(self, event: Request, kind: RequestClass, plan: Plan) -> bool:
        """Whether the place that the request would hold is better kept for another."""
        return self.crowd.turns_away(
            kind.worth * event.units, (plan.name, event.customer), plan.rate or 1.0, event.scarcity,
            self.random.random)

    def _end_hold(self, flight: Flight) -> None:
        flight.waiting = False
        if not flight.closed and flight.sends == 0:
            self._release(flight)

    def _release(self, flight: Flight) -> None:
        """First send: within the in-flight cap and the ceiling, to a server; else parked until it may go."""
        request_id = flight.request.request_id
        wait = self._ceiling_wait(flight)
        if wait >= flight.deadline - self.now:
            self._answer(flight)
            return
        capped = flight.customer.out >= self._in_flight_cap(flight)
        server = None if wait or capped else self._choose(flight)
        if server:
            self.parked.pop(request_id, None)
            self._send(flight, server)
            return
        self._park(flight, wait)

    def _park(self, flight: Flight, wait: float) -> None:
        """Hold what can't go now; the least worth for its work is refused when more wait than go at once.

        Guards against queues here that outlast the aim. Harm: a short burst over few servers is
        refused though it would have been served in time.
        """
        if flight.request.request_id not in self.parked:
            last = flight.arrived + flight.kind.aim_ms - self.latency[flight.kind.name]
            self._arm(max(0.0, last - self.now), self._end_park, flight, flight)
        self.parked[flight.request.request_id] = flight
        if len(self.parked) > (max(1.0, self.pool) if self.servers else MOST_PARKED):
            self._answer(min(self.parked.values(), key=self._value))
        if wait and not flight.closed:
            self._arm(wait + self.settings.tick_ms, self._end_hold, flight, flight)

    def _value(self, flight: Flight) -> float:
        """Worth for the work: what is refused last and released first."""
        return flight.kind.worth * flight.plan.price * flight.request.units / self.latency[flight.kind.name]

    def _end_park(self, flight: Flight) -> None:
        here = flight.request.served_here
        if flight.sends == 0 and (here or any(server.ready for server in self.servers.values())):
            self._answer(flight)

    def _retry_parked(self) -> None:
        for flight in sorted(self.parked.values(), key=self._value, reverse=True):
            if not flight.closed:
                self._release(flight)

    def _limit(self, flight: Flight) -> None:
        """Arm the final answer: before the client's deadline, and before this gateway is ended."""
        flight.deadline = min(flight.deadline, self.ends_at)
        last = flight.deadline - self.now - ANSWER_TICKS * self.settings.tick_ms
        self._arm(max(0.0, last), self._on_deadline, flight, flight)

    def _on_stopping(self, event: Stopping) -> None:
        """Guards against losing requests whose clients would wait longer than this gateway will live."""
        self.ends_at = self.now + event.within_ms
        for flight in list(self.flights.values()):
            if not flight.closed and flight.deadline > self.ends_at:
                self._limit(flight)

    def _on_deadline(self, flight: Flight) -> None:
        if not flight.streaming:
            self._answer(flight)

    def _on_timer(self, event: TimerFired) -> None:
        call = self.timers.pop(event.token, None)
        if call:
            call[0](call[1])

    def _arm(
        self, delay: float, call: Callable[[Any], None], argument: Any, flight: Flight | None = None,
    ) -> None:
        self.tokens += 1
        self.timers[self.tokens] = (call, argument)
        if flight:
            flight.timers.append(self.tokens)
        self.actions.append(SetTimer(self.tokens, delay))

    def _log(self, text: str) -> None:
        self.actions.append(Log(text))

    def _log_once(self, text: str) -> None:
        if text not in self.logged and len(self.logged) < 100:
            self.logged.add(text)
            self._log(text)
