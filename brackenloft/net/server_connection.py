"""One connection to a server: connecting, idle, or with one attempt out.

What an attempt came to is told once, by PROTOCOL's table: an attempt whose last byte was not handed to
the kernel never ran, one that was may have, whatever became of it.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
import time
from collections import deque
from contextlib import suppress
from typing import cast

from brackenloft import interface as api
from brackenloft.admission.account import Held, PeerAccount
from brackenloft.admission.memory import CONNECTION_BYTES, RECEIVED_PARTS, SENT_PARTS
from brackenloft.admission.rate import Least, Pace
from brackenloft.net.attempt import Attempt, Reply
from brackenloft.net.kernel import bound_buffers, unacknowledged
from brackenloft.net.resp import ProtocolError
from brackenloft.net.server_host import Host
from brackenloft.net.server_pool import Pool
from brackenloft.net.streams import STREAM_FROM, Stream
from brackenloft.net.transport_handover import hand_over
from brackenloft.net.wire import parts

log = logging.getLogger(__name__)

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, for no time
STALLED_S = 15.0  # a server that sends nothing of a stream for so long has died


def _is_up(sock: socket.socket) -> bool:
    """Whether it is connected. Guards against blaming a server for a loop that was held up meanwhile."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class Connection(asyncio.BufferedProtocol):
    """One connection to a server: connecting, idle, or with one attempt out."""

    def __init__(self, servers: Pool, host: Host, attempt: Attempt) -> None:
        self.servers, self.host, self.epoch = servers, host, host.epoch
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.socket: socket.socket | None = None
        self.task: asyncio.Task[None] | None = None
        self.reader = servers.protocol.reader()
        self.account = PeerAccount(servers.memory)
        self.account.hold(Held.CONNECTION, CONNECTION_BYTES)
        self.handed = False  # the attempt's last byte to the kernel: written whole; never, while it is not
        self.answered_early = False  # something of an answer has come before that
        self.pace: Pace | None = None  # of a command or an answer that is under way for a while
        self.stream: Stream | None = None  # the value of its answer, passed on as it comes
        self.reading = True
        self.unwritten: deque[bytes | memoryview] = deque()  # parts of the command, for the transport
        self.written = 0  # bytes that the transport has taken
        self.delivered = (
            0  # bytes that the server's machine had acknowledged when the pace was looked at last
        )
        self.number = attempt.server  # the server's
        self.idle_since = 0.0
        self.closed = False
        attempt.connection = self

    @property
    def held(self) -> int:
        """Bytes of an answer that is not whole yet."""
        return self.account.of(Held.ANSWERS)

    # ---- Coming up

    async def open(self) -> None:
        """Connect within the time-out of the settings, then send the attempt that asked for it."""
        sock = None
        try:
            sock = self._make_socket()
            await self._connect(sock)
            self.socket = sock
            await hand_over(self.servers.loop, lambda: self, sock)
            if self.servers.watcher:
                self.servers.watcher(self.number, True)
        except Exception as error:  # out of descriptors too: an outcome, not a crash
            if not isinstance(error, (OSError, TimeoutError)):
                log.exception("a connection to server %d did not come up", self.number)
            if self.servers.watcher and sock:
                self.servers.watcher(self.number, False)
            self.close(api.Status.CONNECT_FAILED)
            self.servers.fail_waiting(self.host)
        finally:
            if sock and self.socket is None:
                sock.close()

    def _make_socket(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            bound_buffers(sock, self.servers.socket_buffer)
        except OSError:
            sock.close()
            raise
        return sock

    async def _connect(self, sock: socket.socket) -> None:
        try:
            async with asyncio.timeout(self.servers.connect_timeout_s):
                await self.servers.connect(sock, self.host.address)
        except TimeoutError:
            if not _is_up(sock):
                raise

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:  # while it came up
            self.transport.abort()
            return
        # With a limit of 0 the loop tells when the last byte has gone to the kernel (resume_writing).
        self.transport.set_write_buffer_limits(0)
        if self.attempt is None:
            self.close(api.Status.CANCELLED)
        elif self.epoch != self.host.epoch or not self.host.ready:
            # Guards against a first byte to a server that began to drain, left or moved meanwhile.
            self.close(api.Status.CONNECT_FAILED)
        elif self.attempt.may_write(time.monotonic()):
            self._write(self.attempt)
        else:  # it was held up while it came up, or is stopped already
            self.close(self.attempt.withheld if self.attempt else api.Status.NOT_SENT)

    # ---- An attempt

    def send(self, attempt: Attempt) -> None:
        """Send on an idle connection."""
        self.attempt, attempt.connection = attempt, self
        self._write(attempt)

    def _write(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.handed = self.answered_early = False
        attempt.written = time.monotonic()
        self.unwritten = parts(attempt.payload(attempt.written), self.servers.socket_buffer)
        self._write_parts()
        if not self.handed:
            self.account.change(Held.SENT, SENT_PARTS * self.servers.socket_buffer)
            self.delivered = self._count_delivered()
            self.servers.look_at(self)

    def _write_parts(self) -> None:
        """Write the next parts of the command, until the kernel takes no more."""
        assert self.transport is not None
        while self.unwritten and not self.transport.get_write_buffer_size():
            part = self.unwritten.popleft()
            self.written += len(part)
            self.transport.write(part)
            if self.transport.is_closing():  # the kernel has refused it, as the loop tells before long
                return
        if not self.handed and not self.unwritten and not self.transport.get_write_buffer_size():
            self.handed = True
            self.servers.tries += 1

    def resume_writing(self) -> None:
        if self.closed:
            return
        self._write_parts()
        if self.handed:
            self.pace = None
            self.account.change(Held.SENT, 0)

    def too_slow(self, now: float, late: float) -> bool:
        """Whether what is under way moves below the least rate.

        A command by what the server's machine acknowledges. Guards against ending one that is read steadily:
        the transport's buffer alone moves in steps of a third of the kernel's, which may be a megabyte.
        """
        if self.pace is None:
            return False
        self.pace.excuse(late)
        if not self.handed:
            before, self.delivered = self.delivered, self._count_delivered()
            self.pace.moved(max(0, self.delivered - before), now)
        return self.pace.too_slow(now)

    def may_begin_long(self) -> bool:
        """Whether what has come of its answer may be the header of a long value, which has no least rate."""
        return self.handed and self.stream is None and self.reader.may_be_long(STREAM_FROM)

    def _count_delivered(self) -> int:
        assert self.transport and self.socket
        return self.written - self.transport.get_write_buffer_size() - unacknowledged(self.socket)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the loop reads to; no more at once than there is memory for."""
        return self.servers.read_buffer.part(self.servers.room(self))

    def buffer_updated(self, nbytes: int) -> None:
        """So many bytes have come there."""
        self._received(self.servers.read_buffer.taken(nbytes))

    def _received(self, data: bytes) -> None:
        """An answer, or a part of one; it is judged before the connection is used again.

        Guards against answers that can't be read, and against bytes behind an answer or out of turn, which
        would be taken for the answer to a later request: the connection is of no further use.
        """
        if self.closed:
            return
        if self.attempt is None:
            self._note_extra()
            self.close(api.Status.RESET)
            return
        self.answered_early = self.answered_early or not self.handed
        if self.stream is None:
            self.reader.feed(data)
        elif self._pass_on(data):
            return
        try:
            answer = self.reader.answer()
            if answer is None:
                self._more(data)
                return
            self.pace = None
            self.servers.hold(-self.held, self)
            reply = self.servers.protocol.decoder.decode(answer)
        except ProtocolError as error:
            log.warning("an answer that can't be read: %s: %.60r", error, data[:60])
            self._give_up_answer()
            return
        if self.answered_early and reply.status is not api.Status.FULL:
            self._refuse_early_answer()
            return
        attempt, self.attempt = self.attempt, None
        if self.stream:
            self.stream, reply.value = None, None
            self.resume()
        if self.reader.left or self.answered_early:
            self._note_extra()
            self.close(api.Status.RESET)
        else:
            self.servers.give_back(self)
        attempt.finish(reply)

    def _note_extra(self) -> None:
        """The server has sent what nobody asked for; its connections rest for longer from now on."""
        self.host.extra_at = self.servers.loop.time()

    def _refuse_early_answer(self) -> None:
        """Take no answer that began before the command was written whole: no server has begun it by then.

        Guards against the answer to an earlier request, and against a next command that is written into the
        middle of this one. A refusal is believed; the connection ends in any case.
        """
        log.warning("server %d answers a command that it can't have read", self.number)
        self._give_up_answer()

    def _give_up_answer(self) -> None:
        """Its attempt may have run if the command was written whole."""
        self.close(api.Status.ERROR if self.handed else api.Status.CONNECT_FAILED)

    # ---- A long value, passed on as it comes

    def _more(self, data: bytes) -> None:
        """An answer is not whole yet: a long value is passed on from here, others are held."""
        attempt = self.attempt
        may_stream = attempt and attempt.opened and self.stream is None
        if attempt and may_stream and (opening := self.reader.opening(self.servers.whole_up_to())):
            if self.answered_early:
                self._refuse_early_answer()
            else:
                self._open(attempt, *opening)
            return
        self.servers.hold(self.reader.left - self.held, self)
        if self.pace:
            self.pace.moved(len(data), time.monotonic())
        self.servers.look_at(self)

    def _open(self, attempt: Attempt, size: int, piece: bytes) -> None:
        assert attempt.opened
        self.servers.hold(-self.held, self)
        if not self.servers.may_stream():
            self.close(api.Status.CANCELLED)
            return
        stream = self.stream = Stream(size, self, self.servers.streams)
        attempt.streams = True
        self.pace = Pace(Least(1.0, STALLED_S, STALLED_S), time.monotonic())
        if not attempt.opened(attempt, stream):  # its request has another attempt's value, or its answer
            attempt.streams = False
            stream.abandon()
            return
        self.servers.look_at(self)
        stream.came(piece)

    def _pass_on(self, data: bytes) -> bool:
        """Pass on what belongs to the value; whether that is all there is."""
        assert self.stream
        if self.pace:
            self.pace.moved(len(data), time.monotonic())
        piece = self.reader.piece(data)
        if piece:
            self.stream.came(piece)
        return self.closed or not self.reader.left

    def pause(self) -> None:
        """The client takes no more now: read no further, which stops the server in time."""
        if self.reading and self.transport and not self.closed:
            self.reading = False
            self.account.change(Held.RECEIVED, RECEIVED_PARTS * self.servers.socket_buffer)
            self.transport.pause_reading()
            if self.pace:
                self.pace.pause(time.monotonic())

    def resume(self) -> None:
        """Read on."""
        if not self.reading and self.transport and not self.closed:
            self.reading = True
            self.account.change(Held.RECEIVED, 0)
            self.transport.resume_reading()
            if self.pace:
                self.pace.resume(time.monotonic())

    def abandon(self) -> None:
        """Nobody wants the rest."""
        self.close(api.Status.CANCELLED)

    def alive(self) -> bool:
        """Whether the server has not closed it, or written out of turn, while it was idle.

        Guards against writing to a connection whose end has come but was not read yet: the request would
        end as a reset, which is fatal for an unsafe one.
        """
        assert self.socket is not None
        if self.closed:
            return False
        try:
            if self.socket.recv(1, socket.MSG_PEEK):
                self._note_extra()
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    # ---- The end

    def discard_unacknowledged(self) -> None:
        """Close it with a reset if the server's machine has not acknowledged the whole command.

        The kernel would go on sending what it holds after a usual close (SO_LINGER, socket(7)).
        """
        if self.closed or self.socket is None or not unacknowledged(self.socket):
            return
        with suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.close(api.Status.RESET, graceful=False)

    def connection_lost(self, exc: Exception | None) -> None:
        self.close(api.Status.RESET if self.handed else api.Status.CONNECT_FAILED)

    def close(self, status: api.Status, graceful: bool = True) -> None:
        """Close at once; the attempt on it, if any, ends with this status. ``graceful``: with a FIN.

        The socket is shut down before the outcome is told, so that a further attempt, which the outcome
        may bring about, never finds this one still out.
        """
        attempt, self.attempt = self.attempt, None
        if not self.closed:
            self.closed = True
            self.servers.hold(-self.held, self)
            self.servers.forget(self)
            if self.socket is None and self.task:
                self.task.cancel()
            elif self.transport:
                with suppress(OSError):
                    if self.socket and graceful:
                        self.socket.shutdown(socket.SHUT_RDWR)
                self.transport.abort()
            self.unwritten.clear()  # which refers to a body
            self.stream = None  # which refers to the connection in turn
        if attempt:
            attempt.finish(Reply(status))
