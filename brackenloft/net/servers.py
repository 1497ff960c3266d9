"""Connections to all servers: idle ones, attempts that wait for one, and the bounds over all of them."""

from __future__ import annotations

import asyncio
import socket
import time
from bisect import bisect_right
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from dataclasses import replace
from functools import partial
from math import inf

from brackenloft import interface as api
from brackenloft.admission.account import Held
from brackenloft.admission.budget import Budget, Side
from brackenloft.admission.memory import CONNECTION_BYTES, RECEIVED_PARTS, SENT_PARTS
from brackenloft.admission.rate import Least, Pace
from brackenloft.admission.room import relief
from brackenloft.net.address import Address
from brackenloft.net.attempt import Attempt, Reply
from brackenloft.net.bites import Bites
from brackenloft.net.connecting import connect
from brackenloft.net.limits import BufferLimits
from brackenloft.net.read_buffer import ReadBuffer
from brackenloft.net.resp import Answers, ProtocolError
from brackenloft.net.server_connection import Connection
from brackenloft.net.server_host import Host
from brackenloft.net.server_protocol import ServerProtocol
from brackenloft.net.server_replies import RespReplyDecoder
from brackenloft.net.streams import LEAST_WINDOW, STREAM_FROM, Streams

IDLE_SHARE = 0.4  # of the servers' idle limit after which a connection is retired: well before they do
COMING_UP = 8  # connections to a server that are coming up at once: its accept queue takes many times as many
LEAST_WAIT_S = 0.001  # for one that rests: the loop's timers are no finer
REST_S = 0.012  # after an answer, before its connection is used again: what comes right behind shows by then
# The same for a server that has sent more than its answers within EXTRA_S: more of it may come later still.
LONG_REST_S, EXTRA_S = 0.1, 60.0
SLOW_RATE = 32 * 1024  # bytes a second of an answer, or of a command that a server takes, at least
SLOW_S = 1.0  # before that counts, and what a burst may save up: a small part of any aim
LOOK_S = 0.1  # between two looks at those under way
LATE_S = 0.025  # a look so late says that the loop was held up: no server is too slow for that
STREAMS_SHARE = 0.5  # of what may be held of answers, for long values; the rest for those gathered whole
REPLIES_SHARE = 0.25  # of what may be held, for whole answers while there is no place for a long value
LEAST_WHOLE = 8 * 1024  # bytes of a value that is held until it is whole, however short the memory is
STREAMS_MEMORY = 0.5  # of what is held for all peers, for long values with their two connections
SWEEP_S = 1.0  # between two looks at idle connections


class Servers:
    """The servers of discovery's list and all connections to them, bounded over all."""

    def __init__(
        self,
        settings: api.Settings,
        budget: Budget,
        limits: BufferLimits,
        protocol: ServerProtocol | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect: Callable[[socket.socket, Address], Awaitable[None]] = partial(connect, self.loop)
        self.connect_timeout_s = settings.limits.connect_timeout_ms / 1000.0
        self.idle_limit_s = settings.limits.connection_idle_ms / 1000.0 * IDLE_SHARE
        decoder = RespReplyDecoder(settings.load_fields, settings.largest_units)
        self.protocol = protocol or ServerProtocol(Answers, decoder)
        self.budget, self.most_held, self.socket_buffer = budget, limits.held, limits.socket_buffer
        self.memory = limits.memory
        self.streams = Streams(int(limits.held * STREAMS_SHARE), self.memory)
        self.read_buffer = ReadBuffer()
        self.held = 0  # bytes of answers that are not whole yet
        self.tries = 0  # attempts whose last byte has gone to the kernel
        self.bites = Bites()
        self.under_way: set[Connection] = set()  # whose pace is watched
        self.looking: asyncio.TimerHandle | None = None
        self.looked = 0.0
        self.watcher: Callable[[int, bool], None] | None = None  # told whether connects to a server come up
        self.hosts: dict[int, Host] = {}
        self.connections: set[Connection] = set()
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def with_replaced(self, news: api.ServerList, addresses: Mapping[int, Address]) -> api.ServerList:
        """The news, and the end of each server at whose address they name another one that is ready.

        A process that comes up at the address of one that has gone may be told before that end is. Guards
        against work for the old one that goes to the new one: to another group, or more than its share.
        """
        if news.kind is not api.ListKind.CHANGES:
            return news  # a whole list names all that there are
        named = {entry.server for entry in news.entries}
        started = {
            addresses[entry.server]: entry.started_ms
            for entry in news.entries
            if entry.state is api.ServerState.READY
        }
        replaced = tuple(
            api.ServerEntry(number, "", state=api.ServerState.GONE)
            for number, host in self.hosts.items()
            if number not in named and host.started <= started.get(host.address, -inf)
        )
        return replace(news, entries=replaced + news.entries) if replaced else news

    def update(self, news: api.ServerList, addresses: Mapping[int, Address]) -> None:
        """Take over discovery's news; connections that it makes useless are closed."""
        listed = {entry.server for entry in news.entries}
        if news.kind is not api.ListKind.CHANGES:
            for server in [number for number in self.hosts if number not in listed]:
                self._remove(server)
        for entry in news.entries:
            if entry.state is api.ServerState.GONE:
                self._remove(entry.server)
                continue
            host = self.hosts.setdefault(entry.server, Host())
            address = addresses[entry.server]
            # Guards against an old connection to a server that restarted or whose address was replaced.
            fresh = host.address == address and host.started == entry.started_ms
            host.address, host.started = address, entry.started_ms
            host.ready = entry.state is api.ServerState.READY
            if not (fresh and host.ready):
                self._renew(host)

    def _remove(self, server: int) -> None:
        host = self.hosts.pop(server, None)
        if host:
            host.ready = False
            self._renew(host)

    def _renew(self, host: Host) -> None:
        host.epoch += 1
        for connection in list(host.idle):
            connection.close(api.Status.RESET)
        self.fail_waiting(host)  # for one that drains, left or moved: nothing new goes there

    def fail_waiting(self, host: Host) -> None:
        """Who waits for a connection learns of one that did not come up: it goes elsewhere at once."""
        waiting, host.waiting = host.waiting, deque()
        for attempt in waiting:
            attempt.waits = False
            attempt.finish(Reply(api.Status.CONNECT_FAILED))

    def start(self, server: int, attempt: Attempt) -> None:
        """Send on the connection used last, or on a new one, or as soon as there is one.

        Guards against opening hundreds of connections at once to a server that answers at once: its accept
        queue overflows, and the connects time out. Those that wait were never sent.
        """
        host = self.hosts.get(server)
        if host is None or not host.ready:
            attempt.finish(Reply(api.Status.CONNECT_FAILED))
            return
        attempt.waits = True
        host.waiting.append(attempt)
        self.serve_waiting(host)

    def serve_waiting(self, host: Host) -> None:
        """Send what waits for a connection, as far as there are any."""
        while host.waiting:
            attempt = host.waiting.popleft()  # at once: what is asked about it may bring others here
            if not attempt.may_write(time.monotonic()):  # or it was stopped meanwhile
                attempt.waits = False
                attempt.finish(Reply(attempt.withheld))
                continue
            connection = self._rested(host)
            if connection is None and (host.coming_up >= COMING_UP or self._short(host)):
                host.waiting.appendleft(attempt)
                if host.idle and host.timer is None:
                    wait = max(LEAST_WAIT_S, host.idle[0].idle_since + self._rest_s(host) - self.loop.time())
                    host.timer = self.loop.call_later(wait, self._have_rested, host)
                return
            attempt.waits = False
            if connection:
                connection.send(attempt)
            else:
                self._connect(host, attempt)

    def _short(self, host: Host) -> bool:
        """Whether descriptors are short, and it has one that rests: no use to close that for another."""
        return bool(host.idle) and not self.budget.free(Side.SERVERS)

    def _came_up(self, connection: Connection) -> None:
        connection.task = None  # which refers to the connection in turn
        connection.host.coming_up -= 1
        self.serve_waiting(connection.host)

    def _have_rested(self, host: Host) -> None:
        host.timer = None
        self.serve_waiting(host)

    def _rested(self, host: Host) -> Connection | None:
        """The idle connection used last, but not just now.

        Guards against bytes right behind an answer that have not come yet: nothing tells them from the
        answer to what is written next.
        """
        idle, before = host.idle, self.loop.time() - self._rest_s(host)
        place = bisect_right(idle, before, key=lambda connection: connection.idle_since)
        while place:
            place -= 1
            connection = idle.pop(place)
            if connection.alive():
                return connection
            connection.close(api.Status.RESET)
        return None

    def _rest_s(self, host: Host) -> float:
        """For how long a connection rests after an answer."""
        return LONG_REST_S if self.loop.time() - host.extra_at < EXTRA_S else REST_S

    def _connect(self, host: Host, attempt: Attempt) -> None:
        if not self.budget.take(Side.SERVERS) and not (self._evict() and self.budget.take(Side.SERVERS)):
            attempt.finish(Reply(api.Status.CONNECT_FAILED))
            return
        connection = Connection(self, host, attempt)
        host.coming_up += 1
        self.connections.add(connection)
        connection.task = self.loop.create_task(connection.open())
        connection.task.add_done_callback(lambda _: self._came_up(connection))  # also where it never began

    def _evict(self) -> bool:
        """Close the connection that has been idle longest, to make room under the limit on descriptors."""
        idle = [host.idle[0] for host in self._met() if host.idle]
        oldest = min(idle, key=lambda connection: connection.idle_since, default=None)
        if oldest:
            oldest.close(api.Status.RESET)
        return oldest is not None

    def stop(
        self,
        attempt: Attempt,
        status: api.Status,
        not_up: api.Status = api.Status.CONNECT_FAILED,
    ) -> None:
        """Stop waiting: the connection is closed, then the outcome told. One not written whole never ran."""
        connection = attempt.connection
        if attempt.done and connection:
            connection.close(status if connection.handed else not_up)
        elif attempt.waits:
            attempt.waits = False
            attempt.finish(Reply(not_up))

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        host = self.hosts.get(server)
        for connection in list(host.idle) if host else []:
            connection.close(api.Status.RESET)

    def give_back(self, connection: Connection) -> None:
        """An attempt has ended well: keep its connection, unless the server changed meanwhile."""
        if connection.closed or connection.epoch != connection.host.epoch:
            connection.close(api.Status.RESET)
            return
        connection.idle_since = self.loop.time()
        connection.host.idle.append(connection)

    def hold(self, size: int, connection: Connection) -> None:
        """Count bytes held for an answer. Guards against answers that together outgrow the memory."""
        connection.account.hold(Held.ANSWERS, size)
        self.held += size
        if size <= 0 or self._room() >= 0:
            return
        holders = {one: one.held for one in self.connections if one.held and not one.stream}
        for one in relief(self.held + self.streams.held, self.most_held, holders):
            self.bites.bite("memory of answers", "the answer that holds most is given up")
            if one is connection:
                raise ProtocolError("more answers than there is memory for")
            one.close(api.Status.ERROR)  # it may have run

    def room(self, connection: Connection) -> int:
        """Bytes that may still be held of what comes on a connection, which may begin a long value."""
        stream = connection.stream
        if stream and stream.reserved:
            return stream.reserved
        held = stream.held if stream else 0
        of_streams = min(self.streams.part() - held, self.streams.most - self.streams.held)
        left = min(of_streams, self._room(), self.memory.left_beside_headroom())
        return int(max(LEAST_WINDOW - held, left))

    def whole_up_to(self) -> int:
        """Bytes of a value that is held until it is whole; a longer one is passed on as it comes."""
        if min(self._room(), self.memory.left_beside_headroom()) >= STREAM_FROM:
            return STREAM_FROM
        if self._has_stream_place() or self.memory.held[Held.REPLIES] > self.most_held * REPLIES_SHARE:
            return LEAST_WHOLE
        return STREAM_FROM

    def may_stream(self) -> bool:
        """Whether there is memory for another long value that a client may take slowly.

        Guards against slow readers, who may not be cut off, that leave nothing to those who ask for little.
        """
        if self._has_stream_place():
            return True
        self.bites.bite("memory of long values", "one is given up as it begins")
        return False

    def _has_stream_place(self) -> bool:
        parts = (RECEIVED_PARTS + SENT_PARTS) * self.socket_buffer + LEAST_WINDOW
        return len(self.streams.open) < self.memory.limit * STREAMS_MEMORY / (2 * CONNECTION_BYTES + parts)

    def _room(self) -> int:
        return self.most_held - self.held - self.streams.held

    def look_at(self, connection: Connection) -> None:
        """A command or an answer did not go or come at once: its pace is watched if it still does not."""
        self.under_way.add(connection)
        if self.looking is None:
            self.looked = time.monotonic()
            self.looking = self.loop.call_later(LOOK_S, self._look)

    def _look(self) -> None:
        """Guards against servers that take or send a byte now and then until the caller's time is up."""
        now = time.monotonic()
        late = max(0.0, now - self.looked - LOOK_S)
        late, self.looked, self.looking = late if late > LATE_S else 0.0, now, None
        for connection in list(self.under_way):
            busy = connection.reader.left or connection.stream
            if connection.closed or (connection.handed and not busy):
                self.under_way.discard(connection)
            elif connection.pace is None and connection.may_begin_long():
                continue  # its first bytes have until the attempt's time
            elif connection.pace is None:
                connection.pace = Pace(Least(SLOW_RATE, SLOW_S, SLOW_S), now)
            elif connection.too_slow(now, late):
                self.under_way.discard(connection)
                self.bites.bite("least rate of servers", "a slow attempt is ended")
                connection.close(api.Status.ERROR if connection.handed else api.Status.CONNECT_FAILED)
        if self.under_way:
            self.looking = self.loop.call_later(LOOK_S, self._look)

    def forget(self, connection: Connection) -> None:
        """A connection that is closing counts no more."""
        connection.account.close()
        if connection in self.connections:
            self.connections.discard(connection)
            self.budget.give(Side.SERVERS)
        with suppress(ValueError):
            connection.host.idle.remove(connection)

    def _met(self) -> set[Host]:
        """The servers with connections: at most as many as these. Guards against a walk over ten thousand."""
        return {connection.host for connection in self.connections}

    def _sweep(self) -> None:
        """Retire idle connections well before the server does, which would reset a request written then."""
        before = self.loop.time() - self.idle_limit_s
        for host in self._met():
            for connection in [c for c in host.idle if c.idle_since < before]:
                connection.close(api.Status.RESET)
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        """Close everything, at the end."""
        self.sweeper.cancel()
        if self.looking:
            self.looking.cancel()
        for host in self.hosts.values():
            host.ready = False
            self._renew(host)
            if host.timer:
                host.timer.cancel()
        for connection in list(self.connections):
            connection.close(api.Status.CANCELLED)
