"""``Edge``: one gateway inside a running loop. The daemon is a program round one of these.

Nothing here is global: no signal handler, no set-up of logging, no change to the collector. What a host
does to its own tasks and loop reaches the decisions as events (a client that left, a late timer), so that the
library behaves as the daemon does.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from math import inf
from types import TracebackType
from typing import Any

from brackenloft import interface as api
from brackenloft.admission.account import MemoryAccount
from brackenloft.admission.budget import Budget, Side
from brackenloft.answers import Answer
from brackenloft.checks import CLIENT_MARGIN_MS, Checks, FieldError
from brackenloft.edge.calls import Admitting, Call, CallRoute, EdgeClosed, Pending, Room
from brackenloft.edge.counters import request_counters
from brackenloft.edge.sources import Node, listed, listing
from brackenloft.lifecycle import FACTS, Event, Lifecycle, State
from brackenloft.net import wire
from brackenloft.net.address import Address
from brackenloft.net.call import Call as DriverCall
from brackenloft.net.clients import Clients
from brackenloft.net.clock import Clock
from brackenloft.net.discovery import Discovery
from brackenloft.net.driver import Driver
from brackenloft.net.limits import BufferLimits
from brackenloft.net.resp import LONGEST_VALUE
from brackenloft.net.server_protocol import ServerProtocol
from brackenloft.net.servers import Servers
from brackenloft.policy import Gateway

log = logging.getLogger(__name__)

FIRST_LIST_S = 1.0  # how long the known list, which may be old, waits for discovery's before it must do
SPARE = 8  # descriptors that a side may take at once beyond what it holds: a burst of new attempts
CLOSE_S = 3.7  # for closing by default: the longest deadline of the platform and some to spare
LOOK_S = 0.01  # between two looks at what is still in hand while closing
WRITE_S = 0.1  # beyond that for the last answers to go to the kernel
ID_SPACE = 1 << 64


class Edge:
    """One gateway; an async context manager. Several may share a loop.

    Open it within the loop that is to run it (uvloop or asyncio's own). Raises FieldError for what the
    settings do not allow, before anything is charged, and EdgeClosed when it is not open.
    """

    def __init__(self, settings: api.Settings, room: Room = Room(), seed: int | None = None) -> None:  # noqa: B008
        self.settings, self.room = settings, room
        self.seed = secrets.randbits(64) if seed is None else seed
        self.checks = Checks(settings)
        self.is_open = False
        self._next_id = secrets.randbits(64)  # ids are new among all gateways, which can't ask each other
        self._lists = 0

    # ---- Opening and closing

    def open(self) -> Edge:
        """Take up work in the running loop. ``async with`` does it too."""
        if self.is_open:
            raise EdgeClosed("this edge is open already")
        self.loop = asyncio.get_running_loop()
        room = self.room
        total = room.client_connections + room.server_connections + room.lent
        spare = SPARE if room.lent else 0
        floors = {Side.CLIENTS: room.client_connections, Side.SERVERS: room.server_connections}
        self.budget = Budget(total, floors, spare)
        self.memory = MemoryAccount(inf if room.memory is None else room.memory)
        self.buffers = BufferLimits(room.held, room.socket_buffer, self.memory, room.spare_descriptors)
        self.servers = Servers(self.settings, self.budget, self.buffers)
        self.driver = Driver(Gateway(self.settings, self.seed), self.servers, Clock())
        self.lifecycle = Lifecycle(self._turn)
        self.watchers: list[Callable[[State], None]] = []  # told of each state that the lifecycle turns to
        self.clients = Clients(
            self.driver, self.settings, self.budget, self.buffers, room.asking or 0, self.lifecycle
        )
        self._emptier: asyncio.TimerHandle | None = None
        self.discovery = Discovery(self._news)
        self._listed = self.heard = False  # any list; one that is no old one
        self.expects = False  # it does not serve before it is told to, though it may know whom to send to
        self._ready = asyncio.Event()
        self._first_list: asyncio.TimerHandle | None = None
        self._own: dict[str, Pending] = {}
        self.granted_now = 0
        self.is_open = True
        self._door_address: dict[str, Callable[[Address], Address]] = {}
        return self

    async def __aenter__(self) -> Edge:
        return self.open()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self, within_s: float = CLOSE_S, accept_s: float = 0.0) -> None:
        """Go on accepting for ``accept_s``, answer all that was taken, end; all of it ``within_s`` seconds.

        What is asked meanwhile is still taken. What is unanswered at the end has failed.
        """
        if not self.is_open:
            return
        end = self.loop.time() + within_s
        if not FACTS[self.lifecycle.state].accepts:
            accept_s = 0.0  # a successor accepts
        try:
            self.lifecycle.happens(Event.LEAVE)
            self.driver.post(api.Stopping(within_s * 1000.0))
            await asyncio.sleep(accept_s)
            self.clients.stop_listening(end - self.loop.time())
            while self._busy() and self.loop.time() < end:
                await asyncio.sleep(LOOK_S)
            self.clients.read_no_more()
            self.driver.abandon()
            while not self.clients.delivered() and self.loop.time() < end + WRITE_S:
                await asyncio.sleep(LOOK_S)  # guards against last answers that go with their connections
        finally:  # also when the host cancels this
            self._end()

    def _busy(self) -> bool:
        return bool(self.clients.busy() or self._own or self.granted_now)

    def _end(self) -> None:
        self.is_open = False
        self.lifecycle.happens(Event.ENDED)
        if self._first_list:
            self._first_list.cancel()
        self.driver.abandon()
        self.clients.abort()
        self.discovery.end()
        for servers in (self.servers, *self.driver.doors.values()):
            servers.close()
        self.driver.close()

    # ---- Servers

    def open_door(self, name: str, protocol: ServerProtocol, address: Callable[[Address], Address]) -> None:
        """Speak to the same servers in another protocol too, at an address made of theirs."""
        self._check_open()
        if name in self.driver.doors:
            raise ValueError(f"the door {name!r} is open already")
        door = self.driver.doors[name] = Servers(self.settings, self.budget, self.buffers, protocol)
        self._door_address[name] = address
        known = {number: host for number, host in self.servers.hosts.items() if host.ready}
        door.update(
            api.ServerList(
                api.ListKind.FULL,
                tuple(api.ServerEntry(number, "", started_ms=host.started) for number, host in known.items()),
            ),
            {number: address(host.address) for number, host in known.items()},
        )

    def _update(self, news: api.ServerList, addresses: dict[int, Address]) -> None:
        self.servers.update(news, addresses)
        for name, door in self.driver.doors.items():
            at = self._door_address[name]
            door.update(news, {number: at(address) for number, address in addresses.items()})

    def told(self, news: api.ServerList, addresses: dict[int, Address]) -> None:
        """A list of servers, from any source."""
        news = self.servers.with_replaced(news, addresses)
        self._update(news, addresses)
        self.driver.post(news)
        if news.kind is not api.ListKind.CACHED:
            self.heard = True
            self._is_ready()

    def known(self, document: Any) -> None:
        """A list in discovery's form that may be old; it must do if nothing newer comes soon."""
        self.discovery.known(document)
        self._first_list = self.loop.call_later(FIRST_LIST_S, self._is_ready)

    def watch(self, address: Address) -> None:
        """Follow discovery at this address from now on."""
        self.discovery.watch(address)

    def use(self, nodes: Iterable[Node]) -> None:
        """These servers from now on, and no others."""
        self._lists += 1
        document = listing(nodes, self.settings.zone, self._lists)
        self._news(*self.discovery.roster.read(document))

    def take(self, news: api.ServerList, addresses: dict[int, Address]) -> None:
        """Servers from a source of the host's own, by numbers that are never used again."""
        self._check_open()
        self._news(news, addresses)

    def _news(self, news: api.ServerList, addresses: dict[int, Address]) -> None:
        """From a source. The first list of servers also says how much may be out at all of them at first.

        Guards against a start without a known list, where nothing would bound what is sent at once.
        """
        if news.entries and not self._listed:
            self._listed = True
            self._update(news, addresses)
            self.driver.post(replace(news, kind=api.ListKind.CACHED))
        if news.kind is not api.ListKind.CACHED or not news.entries:
            self.told(news, addresses)

    def _is_ready(self) -> None:
        self._ready.set()
        if not self.expects:
            self.lifecycle.happens(Event.LISTED)

    def take_up(self) -> None:
        """Serve from now on, where ``expects`` kept it back."""
        self.expects = False
        if self._ready.is_set():
            self.lifecycle.happens(Event.LISTED)

    def listed(self) -> dict[str, Any]:
        """The list as it is here now, in discovery's form."""
        return listed(self.discovery.roster.numbers, self.driver.gateway.fleet.servers, self.servers.hosts)

    def _turn(self, before: State, after: State) -> None:
        """The lifecycle has moved on: accept and empty as it says."""
        log.info("%s, after %s", after.value, before.value)
        facts = FACTS[after]
        if self._emptier:
            self._emptier.cancel()
            self._emptier = None
        self.clients.accept_or_not()
        if facts.empties_after_s is not None:
            self._emptier = self.loop.call_later(facts.empties_after_s, self.clients.empty)
        elif after is not State.LEAVING:
            self.clients.keep()
        for watcher in self.watchers:
            watcher(after)

    @property
    def ready(self) -> bool:
        """Whether it is known whom to send to."""
        return self.is_open and self._ready.is_set()

    async def wait_ready(self) -> None:
        """Wait for the first list of servers."""
        await self._ready.wait()

    # ---- Plans

    def put_plans(
        self,
        plans: Mapping[str, api.Plan],
        names: Mapping[bytes, str],
        plan_of: Callable[[str], str],
    ) -> None:
        """Other plans are in force from now on: ``api.PlansChanged``; what is given may not change later.

        ``names``: of the plans, by how they are written on the wire. ValueError: the settings rule it out.
        """
        self._check_open()
        if not self.settings.plans_change:
            raise ValueError("plans_change: is not set, so plans stay as they are")
        requests = self.clients.requests
        requests.plans = names
        for checks in (self.checks, requests.checks):
            checks.plans, checks.plan_of = plans, plan_of
        self.driver.post(api.PlansChanged(plans, plan_of))

    # ---- Requests

    def listen(self, host: str, port: int) -> Address:
        """Take RESP2 clients at this address too; the address."""
        self._check_open()
        return self.clients.listen(host, port)

    def inherit(self, descriptor: int) -> Address:
        """Take RESP2 clients from a socket that listens already; the address. OSError: it does not."""
        self._check_open()
        return self.clients.inherit(descriptor)

    async def call(self, call: Call) -> Answer:
        """Have a server do it; Served, Refused or Failed.

        Cancelled, it is a client that has left: a request that was not sent on yet is forgotten and charges
        nothing; an attempt that is out is withdrawn where the settings allow it, else its outcome awaited
        behind the caller's back. It is never sent again.
        """
        return await self.begin(call).wait()

    def admit(self, call: Call) -> Admitting:
        """Leave to do the work oneself: metered, held and capped as if a server did it.

        An async context manager that enters with an ``Admission`` when that is decided; the place is given up
        when the block ends, however it ends. ``body`` and ``key`` are not looked at.
        """
        return Admitting(self, call)

    def begin(self, call: Call, local: bool = False, route: CallRoute | None = None) -> Pending:
        """Ask without waiting, for fronts that wait for other things too. ``local``: for an admission.

        ``route``: in another protocol; the call has no body then.

        Who begins one waits for it or withdraws it.
        """
        request = self._request(call, local)
        encode = _nothing if local else self._encoder(call, request, route)
        pending = Pending(self, request.request_id)
        if len(self._own) >= self.room.in_hand:
            pending.value = self.driver.turn_away(request.class_name)
            return pending
        self._own[request.request_id] = pending
        driven = DriverCall(request.request_id, encode, pending.tell)
        if route:
            driven.door, driven.weigh = route.door, route.weigh
        self.driver.request(driven, request, request.patience_ms)
        return pending

    def done(self, pending: Pending) -> None:
        """Its answer has been taken."""
        if self._own.get(pending.request_id) is pending:
            del self._own[pending.request_id]

    def allowance(self, call: Call) -> api.Allowance:
        """What is left of the customer's quota, as this gateway sees it; changes nothing."""
        self._check_open()
        width = self.checks.place("width", call.width, 1)
        gateway = self.driver.gateway
        return gateway.allowance(self.checks.plan(call.plan, call.customer), call.customer, width)

    def counters(self) -> dict[str, float]:
        """What became of the requests so far, and what is in hand now."""
        return request_counters(self.driver, self.clients, self.servers, self.granted_now)

    def _check_open(self) -> None:
        if not self.is_open:
            raise EdgeClosed("this edge is not open")

    def _request(self, call: Call, local: bool) -> api.Request:
        self._check_open()
        checks = self.checks
        kind = checks.kind(call.class_name)
        wait = kind.deadline_ms + CLIENT_MARGIN_MS if call.patience_ms is None else call.patience_ms
        request_id = (
            self._new_id() if call.request_id is None else checks.identifier("request_id", call.request_id)
        )
        try:
            self.driver.check_new(request_id, kind.effect is not api.Effect.SAFE)
        except ValueError as error:
            raise FieldError("request_id", str(error)) from error
        return api.Request(
            request_id=request_id,
            class_name=kind.name,
            plan=checks.plan(call.plan, call.customer),
            customer=checks.local_customer(call.customer) if local else checks.customer(call.customer),
            patience_ms=checks.patience(wait, kind),
            units=checks.units(call.units),
            width=checks.place("width", call.width, 1),
            first_gateway=checks.place("first_gateway", call.first_gateway, 0),
            is_retry=call.is_retry,
            is_write=kind.effect is not api.Effect.SAFE,
            served_here=local,
            paid=call.paid,
        )

    def _new_id(self) -> str:
        self._next_id = (self._next_id + 1) % ID_SPACE
        return f"{self._next_id:016x}"

    def _encoder(self, call: Call, request: api.Request, route: CallRoute | None) -> wire.Encoder:
        key = self.checks.key(call.key, self.checks.classes[request.class_name])
        if route:
            if route.door not in self.driver.doors:
                raise FieldError("route", f"there is no such door: {route.door!r:.60}")
            return lambda wait_ms: route.encode(request.request_id, wait_ms)
        if not isinstance(call.body, bytes) or len(call.body) > LONGEST_VALUE:
            raise FieldError("body", f"not bytes, or more than {LONGEST_VALUE} of them")
        if call.body and not request.is_write:
            raise FieldError("body", f"class {request.class_name} has none")
        return wire.call(request, key, call.body)


def _nothing(wait_ms: float) -> bytes:
    """What the host does itself is not written to any server."""
    return b""
