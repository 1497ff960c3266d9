"""Connections to servers and the attempts on them; one attempt at a time on a connection.

What an attempt came to is told once, by PROTOCOL's table: an attempt whose last byte was not handed to
the kernel never ran, one that was may have, whatever became of it.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import cast

import hiredis

from brackenloft import interface as api
from brackenloft.settings import REPORT_FIELD

log = logging.getLogger(__name__)

IDLE_SHARE = 0.4  # of the servers' idle limit after which a connection is retired: well before they do
LONGEST_ANSWER = 1024 * 1024  # bytes without a whole answer: a value of 64 KiB and much to spare
SWEEP_S = 1.0  # between two looks at idle connections
Address = tuple[str, int]


class ServerError(Exception):
    """An error line, as hiredis gives it."""


@dataclass(slots=True)
class Reply:
    """What an attempt came to."""

    status: api.Status
    value: bytes | None = None
    used: float | None = None
    cost: float | None = None
    load: tuple[float, ...] | None = None


class Attempt:
    """A command on its way to a server; ``done`` is called once with what came of it."""

    __slots__ = ("payload", "done", "connection")

    def __init__(self, payload: bytes, done: Callable[[Reply], None]) -> None:
        self.payload = payload
        self.done: Callable[[Reply], None] | None = done
        self.connection: Connection | None = None

    def finish(self, reply: Reply) -> None:
        """Tell the outcome, the first only."""
        done, self.done, self.connection = self.done, None, None
        if done:
            done(reply)


def _pairs(text: str) -> dict[str, float]:
    """``a=1,b=2`` as numbers; what is not of that form is left out."""
    found = {}
    for part in text.split(","):
        name, _, number = part.partition("=")
        with suppress(ValueError):
            found[name] = float(number)
    return found


class Readings:
    """Reads what servers answer, figures on use and load reports included."""

    def __init__(self, load_fields: tuple[str, ...]) -> None:
        self.load_fields = load_fields

    def reply(self, answer: object) -> Reply:
        """An answer as the protocol's table has it; what is malformed may have run."""
        if isinstance(answer, ServerError):
            return self._error(str(answer))
        if not isinstance(answer, list) or not answer or not isinstance(answer[0], bytes):
            log.warning("malformed answer: %.100r", answer)
            return Reply(api.Status.ERROR)
        reply = Reply(api.Status.OK, answer[0])
        for figures in answer[1:]:
            if isinstance(figures, bytes):
                self._figures(reply, figures.decode("latin-1"))
        return reply

    def _error(self, line: str) -> Reply:
        word, *rest = line.split(" ")
        if word == "SYNTAX":
            log.error("a server could not read a command: %.200s", line)
        reply = Reply(api.Status.FULL if word == "BUSY" else api.Status.ERROR)
        for figures in rest:
            self._figures(reply, figures)
        return reply

    def _figures(self, reply: Reply, text: str) -> None:
        figures = _pairs(text)
        reply.used = figures.get("used", reply.used)
        reply.cost = figures.get("cost", reply.cost)
        load = {REPORT_FIELD.get(name, name): value for name, value in figures.items()}
        if self.load_fields and all(name in load for name in self.load_fields):
            reply.load = tuple(load[name] for name in self.load_fields)


class Host:
    """A server as discovery last told it. Each change that makes old connections useless is an epoch."""

    __slots__ = ("address", "started", "ready", "idle", "epoch")

    def __init__(self) -> None:
        self.address: Address = ("", 0)
        self.started, self.ready, self.epoch = 0.0, False, 0
        self.idle: list[Connection] = []  # the most recently used last


class Connection(asyncio.Protocol):
    """One connection to a server: connecting, idle, or with one attempt out."""

    def __init__(self, servers: Servers, host: Host, attempt: Attempt) -> None:
        self.servers, self.host, self.epoch = servers, host, host.epoch
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.socket: socket.socket | None = None
        self.task: asyncio.Task[None] | None = None
        self.reader = hiredis.Reader(replyError=ServerError)
        self.handed = False  # the attempt's last byte to the kernel
        self.idle_since, self.unread = 0.0, 0
        self.closed = False
        attempt.connection = self

    # ---- Coming up

    async def open(self) -> None:
        """Connect within the time-out of the settings, then send the attempt that asked for it."""
        loop, sock = self.servers.loop, None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.servers.connect_timeout_s):
                await loop.sock_connect(sock, self.host.address)
            self.socket = sock
            await loop.create_connection(lambda: self, sock=sock)
        except (OSError, TimeoutError):  # out of descriptors is an OSError too: an outcome, not a crash
            self.close(api.Status.CONNECT_FAILED)
        finally:
            if sock and self.socket is None:
                sock.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0 the loop tells when the last byte has gone to the kernel (resume_writing).
        self.transport.set_write_buffer_limits(0)
        if self.closed or self.attempt is None:
            self.transport.abort()
        elif self.epoch != self.host.epoch or not self.host.ready:
            # Guards against a first byte to a server that began to drain, left or moved meanwhile.
            self.close(api.Status.CONNECT_FAILED)
        else:
            self._write(self.attempt.payload)

    # ---- An attempt

    def send(self, attempt: Attempt) -> None:
        """Send on an idle connection."""
        self.attempt, attempt.connection = attempt, self
        self._write(attempt.payload)

    def _write(self, payload: bytes) -> None:
        assert self.transport is not None
        self.handed = False
        self.transport.write(payload)
        self.handed = self.transport.get_write_buffer_size() == 0

    def resume_writing(self) -> None:
        self.handed = True

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        self.unread += len(data)
        try:
            answer = self.reader.gets()
            more = self.reader.has_data()
        except (hiredis.HiredisError, ValueError, MemoryError):
            log.warning("a server broke the protocol: %.100r", data)
            self.close(api.Status.ERROR)
            return
        if answer is False and self.attempt and self.unread <= LONGEST_ANSWER:
            return
        self.unread = 0
        attempt, self.attempt = self.attempt, None
        if attempt is None or more or answer is False:
            self.close(api.Status.RESET)  # bytes that answer nothing: what follows can't be told apart
        else:
            self.servers.give_back(self)
        if attempt:
            attempt.finish(self.servers.readings.reply(answer))

    def alive(self) -> bool:
        """Whether the server has not closed it, or written out of turn, while it was idle.

        Guards against writing to a connection whose end has come but was not read yet: the request would
        end as a reset, which is fatal for an unsafe one.
        """
        assert self.socket is not None
        if self.closed:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    # ---- The end

    def connection_lost(self, exc: Exception | None) -> None:
        self.close(api.Status.RESET if self.handed else api.Status.CONNECT_FAILED)

    def close(self, status: api.Status) -> None:
        """Close at once; the attempt on it, if any, ends with this status.

        The socket is shut down before the outcome is told, so that a further attempt, which the outcome
        may bring about, never finds this one still out.
        """
        attempt, self.attempt = self.attempt, None
        if not self.closed:
            self.closed = True
            self.servers.forget(self)
            if self.socket is None and self.task:
                self.task.cancel()
            elif self.transport:
                with suppress(OSError):
                    if self.socket:
                        self.socket.shutdown(socket.SHUT_RDWR)
                self.transport.abort()
        if attempt:
            attempt.finish(Reply(status))


class Servers:
    """The servers of discovery's list and all connections to them, bounded over all."""

    def __init__(self, settings: api.Settings, most_connections: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout_s = settings.limits.connect_timeout_ms / 1000.0
        self.idle_limit_s = settings.limits.connection_idle_ms / 1000.0 * IDLE_SHARE
        self.readings = Readings(settings.load_fields)
        self.most_connections = most_connections
        self.hosts: dict[int, Host] = {}
        self.connections: set[Connection] = set()
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

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

    def start(self, server: int, attempt: Attempt) -> None:
        """Send on the connection used last, or on a new one."""
        host = self.hosts.get(server)
        if host is None or not host.ready:
            attempt.finish(Reply(api.Status.CONNECT_FAILED))
            return
        while host.idle:
            connection = host.idle.pop()
            if connection.alive():
                connection.send(attempt)
                return
            connection.close(api.Status.RESET)
        self._connect(host, attempt)

    def _connect(self, host: Host, attempt: Attempt) -> None:
        if len(self.connections) >= self.most_connections and not self._evict():
            attempt.finish(Reply(api.Status.CONNECT_FAILED))
            return
        connection = Connection(self, host, attempt)
        self.connections.add(connection)
        connection.task = self.loop.create_task(connection.open())

    def _evict(self) -> bool:
        """Close the connection that has been idle longest, to make room under the limit on descriptors."""
        idle = [host.idle[0] for host in self.hosts.values() if host.idle]
        oldest = min(idle, key=lambda connection: connection.idle_since, default=None)
        if oldest:
            oldest.close(api.Status.RESET)
        return oldest is not None

    def stop(self, attempt: Attempt, status: api.Status) -> None:
        """Stop waiting: the connection is closed, then the outcome told. One not up yet never ran."""
        connection = attempt.connection
        if attempt.done and connection:
            connection.close(status if connection.transport else api.Status.CONNECT_FAILED)

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

    def forget(self, connection: Connection) -> None:
        """A connection that is closing counts no more."""
        self.connections.discard(connection)
        with suppress(ValueError):
            connection.host.idle.remove(connection)

    def _sweep(self) -> None:
        """Retire idle connections well before the server does, which would reset a request written then."""
        before = self.loop.time() - self.idle_limit_s
        for host in self.hosts.values():
            for connection in [c for c in host.idle if c.idle_since < before]:
                connection.close(api.Status.RESET)
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        """Close everything, at the end."""
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.close(api.Status.CANCELLED)
