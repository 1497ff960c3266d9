"""Servers: what each has shown, how much may be out at all of them, and which one a request goes to."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from math import exp, inf

import brackenloft.interface as api
from brackenloft.policy.attempts import PAIR, Flight
from brackenloft.policy.server_age import counts_from

# Figures
FIRST_LATENCY = 0.2  # of a class's aim: its latency until answers have been seen
LATENCY_STEP = 0.03  # weight of one answer in a class's mean latency: some thirty answers of memory
SERVER_STEP = 0.15  # weight of one answer in a server's relative latency: some seven answers of memory
LEAST_MS = 0.1  # a latency below which nothing is told apart
FADE_MS = 4000.0  # time constant with which figures fade, so that a server is tried again; but see _fade
QUEUE_WEIGHT = 1.0  # requests out that one reported as waiting stands for
CROSS_WEIGHT = 10.0  # how many times its price a zone crossing weighs against a mean latency
SPREAD = 0.1  # share of a cost drawn at random, so that gateways with the same reports do not choose alike

# Pressure: how much may be out from here at all servers together, found by what answers show
FIRST_LIMIT = 4.0  # attempts out at a server, over all gateways, before anything is known of it
POOL_GROWTH = 0.035  # attempts by which a quick answer lifts a pool that is used up: thirty lift it by one
POOL_CUT = 0.3  # attempts that a slow answer takes off: one slow answer in ten holds the pool level
LEAST_POOL = 0.3  # attempts out, a share of requests below one: the pool must see answers to recover
INSTANT = 0.05  # of the shortest aim: while answers take less on the whole, nothing is near its limit, and
# each lifts the pool by one
QUICK = 0.3  # of the aim: answers faster than this lift the pool
WAIT = 0.3  # of the shortest aim: as many wait here as the servers take up in that time
TOLD = 20  # answers that tell how long they take on the whole; the first ones weigh alike
SLOW = 0.5  # of the aim: answers slower than this cut the pool, and attempts out so long are doubtful

# Health: the share of failures that a server shows, apart for its class and for its plan
DOUBT_COST = 6.0  # mean latencies that a failure costs beside a wait: most of a request's worth is lost
DOUBT_PRIOR = 1.0  # answers that the share seen at all servers weighs against a server's own
LOST = 8.0  # mean latencies after which an answer hardly comes: three in ten thousand, if exponential
FORGIVEN = 0.001  # failures, faded, that count as none: nothing is left to be weighed
DOUBTED = 0.5  # share of failures from which a slow attempt is taken elsewhere, and a line is logged
HINT_YIELDS = 0.5  # good answers of our own, faded, from which another gateway's word counts for nothing
SAMPLE = 10  # servers compared for a request, drawn at random, beside as many that answered it quickly last

# Cold servers
COLD_SAFETY = 0.4  # of the tipping budget that its part may use on the mean: chance and heavy requests
COLD_EARLY = 0.2  # with its warmth, the part of that while it is coldest: one request is much of its budget
COLD_LEAST = 0.6  # of the fleet, which counts as warm at least: where nearly all are cold, all can't take all
COLD_PULL = 0.2  # of its cost in its turn: it is one among twenty, and its turn would pass unused else
TURNS = 64.0  # the turn also says who goes to a pool that is nearly full: its finer part is free of that
SHARE_MS = 100.0  # between two reckonings of the shares: warmth changes in seconds

Moment = tuple[float, int]  # the time, and how many attempts had been sent from here
Mark = tuple[float, float, Moment]  # failures and all outcomes, both faded, and when they were noted
NEVER: Moment = (-inf, 0)
UNKNOWN: Mark = (0.0, 0.0, NEVER)


class Server:
    """What this gateway knows of one server."""

    __slots__ = ("id", "zone", "cell", "ready", "started", "out", "ratio", "ratio_at", "queue", "queue_at",
                 "marks", "bad", "phase", "share", "counts_from")

    def __init__(self, entry: api.ServerEntry) -> None:
        self.phase, self.share = 0.0, 1.0  # of all requests, those whose turns it is open to, from where on
        self.id = entry.server
        self.out: set[tuple[str, int]] = set()  # attempts out
        self.counts_from = -inf  # its age
        self.reset()
        self.update(entry)

    def reset(self) -> None:
        """Forget what a process that is gone has shown."""
        self.ratio, self.ratio_at, self.queue, self.queue_at = 1.0, NEVER, 0.0, NEVER
        self.marks: dict[str, Mark] = {}
        self.bad: set[str] = set()  # those of them with failures

    def update(self, entry: api.ServerEntry) -> None:
        """Take over what discovery says."""
        self.zone, self.cell, self.started = entry.zone, entry.cell, entry.started_ms
        self.ready = entry.state is api.ServerState.READY


class Fleet:
    """The servers, their figures and the choice. ``note`` takes lines for the people on call."""

    def __init__(self, settings: api.Settings, draw: random.Random, note: Callable[[str], None]) -> None:
        self.settings, self.random, self.note, self.now = settings, draw, note, -inf
        self.servers: dict[int, Server] = {}
        self.watched = False  # a list that is no old one has come: what is told from now on is new
        self.here = Server(api.ServerEntry(api.HERE, settings.zone))  # the host that serves the work itself
        self.ready: list[Server] = []
        self.cold: list[Server] = []
        self.shared_at, self.capacity = -inf, 0.0
        self.zone, self.crossing = settings.zone, 1.0 + CROSS_WEIGHT * settings.cross_zone_price
        self.latency = {item.name: item.aim_ms * FIRST_LATENCY for item in settings.classes}
        self.young: set[tuple[str, int]] = set()  # attempts out that are not slow yet: what the pool counts
        self.pool = inf  # until the first list
        self.answers, self.mean = 0, 0.0  # good ones so far, and their mean latency
        self.shortest = min(item.aim_ms for item in settings.classes)
        self.marks: dict[str, Mark] = {}  # of all servers together, those of no class by zone
        self.bad: set[str] = set()  # those of them with failures
        self.quick: dict[str, dict[int, Server]] = {item.name: {} for item in settings.classes}
        self.sends = 0
        fields = settings.load_fields
        self.queue_field = fields.index("queue") if "queue" in fields else -1

    # ---- The list

    def take_list(self, event: api.ServerList) -> None:
        """Discovery's news."""
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            listed = {entry.server for entry in event.entries}
            self._remove(id for id in list(self.servers) if id not in listed)
        for entry in event.entries:
            self._take_entry(entry)
        self.ready = [server for server in self.servers.values() if server.ready]
        self._share_out()
        self.watched = self.watched or event.kind is not api.ListKind.CACHED
        if event.kind is api.ListKind.CACHED:
            self.pool = FIRST_LIMIT * len(self.servers) / self.settings.gateways

    def _take_entry(self, entry: api.ServerEntry) -> None:
        server = self.servers.get(entry.server)
        if entry.state is api.ServerState.GONE:
            self._remove([entry.server])
        elif server is None or (server.zone, server.cell) != (entry.zone, entry.cell):
            # One that moved is another: what may have run at the old place stays known by it.
            self._remove([entry.server])
            server = self.servers[entry.server] = Server(entry)
            server.counts_from = counts_from(self.now, entry.started_ms, self.watched)
        else:
            if 0.0 < entry.started_ms != server.started:
                server.counts_from = counts_from(self.now, entry.started_ms, self.watched)
                server.reset()
            server.update(entry)

    def _remove(self, ids: Iterable[int]) -> None:
        for server_id in list(ids):
            if server := self.servers.pop(server_id, None):
                server.ready = False

    # ---- Attempts out

    def sent(self, server: Server, key: tuple[str, int]) -> None:
        """An attempt goes out."""
        server.out.add(key)
        self.sends += 1
        self.young.add(key)

    def back(self, server: Server, key: tuple[str, int]) -> None:
        """It has ended."""
        server.out.discard(key)
        self.young.discard(key)

    def full(self) -> bool:
        """Whether as much is out as the servers take in time."""
        return len(self.young) >= self.pool

    def may_wait(self) -> float:
        """How many may wait here for room: a pool, or what the servers take up in a part of the aim.

        By Little's law, a pool's worth leaves in a mean latency. While nothing has been answered yet, nothing
        tells, and any number: guards against refusing what idle servers would have done at once. Harm: where
        servers are slow from the start, the first that came wait in vain for a part of their aim.
        """
        if not self.servers or self.answers < TOLD:
            return inf
        return max(1.0, self.pool, self.pool * WAIT * self.shortest / max(LEAST_MS, self.mean))

    def lost(self, kind: api.RequestClass, sent: float) -> bool:
        """Whether an attempt has been out for so long that its answer will hardly come any more."""
        return self.now - sent >= LOST * self.latency[kind.name]

    # ---- Health

    def _fade(self, then: Moment) -> float:
        """What is left of a figure: it fades with time, but not before each server could be met again."""
        return exp(-min((self.now - then[0]) / FADE_MS, (self.sends - then[1]) / max(1, len(self.servers))))

    def _note_in(self, marks: dict[str, Mark], kept: set[str], name: str, failed: bool, at: Moment) -> None:
        bad, seen, then = marks.get(name, UNKNOWN)
        fade = self._fade(then) if seen else 0.0
        if failed:
            bad = bad * fade + 1.0
            kept.add(name)
        elif bad:
            bad *= fade
            if bad < FORGIVEN:
                bad = 0.0
                kept.discard(name)
        marks[name] = (bad, seen * fade + 1.0, at)

    def mark(self, server: Server, key: str, failed: bool, why: str = "") -> None:
        """Note how an attempt went, for its server and for all."""
        at = (self.now, self.sends)
        self._note_in(server.marks, server.bad, key, failed, at)
        self._note_in(self.marks, self.bad, key or server.zone, failed, at)
        if failed and self.share_failed(server, key) >= DOUBTED:
            self.note(f"server {server.id} doubted{' for ' if key else ''}{key}: {why}")

    def hint(self, server: Server) -> None:
        """Somebody else found it silent. Guards against each gateway finding out by requests of its own.

        One failure, where none of our own answers from there is fresh; the first good answer outweighs it.
        """
        bad, seen, then = server.marks.get("", UNKNOWN)
        if not seen or (seen - bad) * self._fade(then) < HINT_YIELDS:
            server.marks[""] = (max(1.0, bad), max(1.0, seen), (self.now, self.sends))
            server.bad.add("")

    def share_failed(self, server: Server, key: str) -> float:
        """The share of failures expected at a server: its own, and all servers' while it shows little."""
        bad_all, seen_all, _ = self.marks.get(key or server.zone, UNKNOWN)
        bad, seen, then = server.marks.get(key, UNKNOWN)
        if not bad_all and not bad:
            return 0.0
        prior = DOUBT_PRIOR * bad_all / (seen_all + 1.0)
        fade = self._fade(then) if seen else 0.0
        return (bad * fade + prior) / (seen * fade + DOUBT_PRIOR)

    def avoided(self) -> int:
        """How many of the list are avoided now: they drain, or are doubted for all."""
        return sum(not s.ready or self.share_failed(s, "") >= DOUBTED for s in self.servers.values())

    def judge(self, flight: Flight, server: Server, status: api.Status) -> None:
        """Note an outcome; attempts that wait in vain are noted as they become slow.

        A server that turns one away as full may do so to its class and plan alone, and others go on there; if
        it did so to two of these, it does to all. Guards against one that drains before the list tells: each
        gateway found out anew for each class and plan.
        """
        whole, kind, both = flight.keys
        if status is api.Status.OK:
            for key in flight.keys:
                self.mark(server, key, failed=False)
        elif status is api.Status.ERROR:
            self.mark(server, kind, failed=True, why=status.value)
        elif status is api.Status.FULL:
            self.mark(server, both, failed=True, why=status.value)
            if any(PAIR in name and name != both for name in server.bad):
                self.mark(server, whole, failed=True, why=status.value)
        elif status in (api.Status.CONNECT_FAILED, api.Status.RESET):
            self.mark(server, whole, failed=True, why=status.value)

    # ---- What answers show

    def press(self, server: Server, kind: api.RequestClass, event: api.Outcome) -> None:
        """What may be out from here at all servers together, moved by every answer.

        Guards against any cause that makes servers slower than the aim: overload, neighbours, costly
        requests, queues that fill. It sums over all gateways, however many: a limit of one at each server
        would be hundreds, and each gateway meets a server once in seconds. Silent attempts leave it as they
        become slow, so that servers that hang don't stop the rest. Harm: few slow servers hold all back a
        little; where single requests take most of the aim by nature, it keeps too little out.
        """
        if event.status is not api.Status.OK:
            return
        known = self.quick[kind.name]
        known.pop(server.id, None)
        if event.latency_ms < QUICK * kind.aim_ms:
            known[server.id] = server
            if len(known) > SAMPLE:
                del known[next(iter(known))]
            if len(self.young) + 2 >= self.pool:  # the one that ended and one more would not have fitted
                instant = self.answers >= TOLD and self.mean < INSTANT * self.shortest
                self.pool += 1.0 if instant else POOL_GROWTH

    def cut(self) -> None:
        """An attempt is slow: less may be out. Told when it becomes so, as its answer may never come."""
        self.pool = max(LEAST_POOL, self.pool - POOL_CUT * min(1.0, self.pool))

    def learn(self, server: Server, kind: api.RequestClass, latency: float) -> None:
        """Mean latency of the class and relative latency of the server, from one good answer."""
        self.answers += 1
        self.mean += max(LATENCY_STEP, 1.0 / self.answers) * (latency - self.mean)
        mean = self.latency[kind.name]
        self.latency[kind.name] = mean + LATENCY_STEP * (latency - mean)
        ratio = 1.0 + (server.ratio - 1.0) * self._fade(server.ratio_at)
        server.ratio = ratio + SERVER_STEP * (latency / mean - ratio)
        server.ratio_at = (self.now, self.sends)

    def report(self, server: Server, load: tuple[float, ...] | None) -> None:
        """A load report."""
        if load:
            queue = load[self.queue_field] if 0 <= self.queue_field < len(load) else 0.0
            server.queue, server.queue_at = queue or 0.0, (self.now, self.sends)

    # ---- Cold servers (a part of choice: who may be sent how much)

    def warmth(self, server: Server) -> float:
        """The share of its capacity that a server has at least, by the time since its start."""
        rules = self.settings.contract
        age = self.now - server.counts_from
        if age >= rules.warm_up_ms:
            return 1.0
        return rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm_up_ms

    def _share_out(self) -> None:
        """The share of all requests, at all gateways, that each cold server is open to.

        Guards against pushing it over: it has its part of the fleet's capacity by its least warmth, less
        while it is coldest. However good it looks, however often a request asks again, at however many
        gateways, no more comes. It also spreads the burst after a list change. Guards as well against cold
        servers at rest beside warm ones that are overrun. Harm: where most servers are cold at once, requests
        wait or are refused though the multiple would allow more.
        """
        young = self.now - self.settings.contract.warm_up_ms  # of thousands, few are asked further
        self.cold = [server for server in self.ready if server.counts_from > young]
        for server in self.ready:
            server.share = 1.0
        safety = min(1.0, COLD_SAFETY * self.settings.contract.tip_multiple)
        weights = []
        for server in self.cold:
            warmth = self.warmth(server)
            weights.append(safety * warmth * min(1.0, COLD_EARLY + warmth))
        fleet = max(len(self.ready) - len(weights) + sum(weights), COLD_LEAST * len(self.ready))
        phase = 0.0
        for server, weight in zip(self.cold, weights, strict=True):
            server.phase, server.share = phase, weight / fleet
            phase += server.share
        capacity = len(self.ready) - len(self.cold) + sum(map(self.warmth, self.cold))
        if capacity and self.capacity:
            self.pool = max(LEAST_POOL, self.pool * capacity / self.capacity)
        self.shared_at, self.capacity = self.now, capacity or self.capacity

    def _cold_turn(self, flight: Flight, server: Server) -> bool:
        """Whether this request may go to a cold server: only in its turn, drawn once for each request."""
        return server.share >= 1.0 or server.phase <= flight.turn * TURNS % 1.0 < server.phase + server.share

    # ---- Choice

    def _doubt(self, flight: Flight, server: Server) -> float:
        """How likely the request fails there.

        Guards against silent, half-working and refusing servers, whether all requests suffer or those of
        one class or plan: who was answered there goes there again, who was not goes elsewhere, and while
        many fail, servers not tried yet come after those that answered. Nothing is closed: the best of bad
        servers still gets work. Harm: slow answers by chance turn requests away from a good server.
        """
        if not self.bad and not server.bad:
            return 0.0  # as nearly always
        whole, kind, both = flight.keys
        share = self.share_failed
        return max(share(server, whole), share(server, kind), share(server, both))

    def cost(self, flight: Flight, server: Server) -> float:
        """The wait expected at a server, in mean latencies."""
        load = 1.0 + len(server.out)
        if server.queue:
            load += QUEUE_WEIGHT * server.queue * self._fade(server.queue_at)
        cost = load * (1.0 + (server.ratio - 1.0) * self._fade(server.ratio_at))
        if doubt := self._doubt(flight, server):
            cost *= 1.0 + DOUBT_COST * doubt
        if server.share < 1.0:
            cost *= COLD_PULL  # who comes in the turn of a cold server should take it
        if server.zone != self.zone:
            cost *= self.crossing
        return cost * (1.0 + SPREAD * self.random.random())

    def choose(self, flight: Flight) -> Server | None:
        """The best of some servers: ready, in the request's group, cold only in its turn, not yet tried."""
        if flight.request.served_here:
            return None if flight.sends else self.here
        few = self.ready
        if not flight.sends:
            if len(self.young) >= self.pool - flight.turn:
                return None  # a pool of 1.4: one out for each request, a second for four in ten
        else:
            few = [s for s in few if s.id not in flight.tried and flight.in_group(s, self.now)]
            if not few and flight.kind.effect is api.Effect.KEYED:
                few = [s for s in self.ready if flight.in_group(s, self.now)]
        if len(few) > 2 * SAMPLE:
            quick = [s for s in self.quick[flight.kind.name].values() if not flight.sends or s in few]
            few = self.random.sample(few, SAMPLE) + quick + (self.cold if not flight.sends else [])
        if self.cold and self.now >= self.shared_at + SHARE_MS:
            self._share_out()
        best, least = None, inf
        for server in few:
            if server.ready and (not self.cold or self._cold_turn(flight, server)):
                cost = self.cost(flight, server)
                if cost < least:
                    best, least = server, cost
        return best
