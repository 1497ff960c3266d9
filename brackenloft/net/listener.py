"""The socket on which clients come in, within a budget of descriptors."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress

from brackenloft.admission.budget import Budget, Side
from brackenloft.admission.memory import CONNECTION_BYTES, LEAST_CONNECTIONS, RECEIVED_PARTS
from brackenloft.lifecycle import Lifecycle
from brackenloft.net.accept_queue import AcceptQueue
from brackenloft.net.kernel import bound_buffers, peer_name, unread
from brackenloft.net.limits import BufferLimits
from brackenloft.net.momentary import tried_again
from brackenloft.net.streams import STREAM_FROM
from brackenloft.net.transport_handover import hand_over
from brackenloft.obligations import CloseReason, Dues, Obligations

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that wait in the kernel: all that come while there is no room
MOST_ACCEPTED = 256  # connections accepted at once: who has left again in the meantime costs little
ADMITTED = 32  # connections that are admitted before the others have their turn
MOST_HEARD = 16  # connections that are heard at once, whatever the memory holds
MOST_QUEUED = 512  # connections that are accepted and wait for memory or their turn; more wait in the kernel


class Listener:
    """Accepts while there is room; who comes meanwhile waits in the kernel."""

    obligations: Obligations

    def __init__(self, budget: Budget, lifecycle: Lifecycle, limits: BufferLimits) -> None:
        self.budget, self.lifecycle = budget, lifecycle
        self.socket_buffer, self.memory = limits.socket_buffer, limits.memory
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()  # connections that are being admitted
        self.queue = AcceptQueue(STREAM_FROM)
        self.spare = limits.spare_descriptors  # for the queue; those beyond take their places already
        self.queued_places = 0
        self.admitting = False  # in the next turn of the loop
        self.leaving = self.accepting = self.shared = False
        self.most_left = 0  # connections that are still accepted while leaving

    # ---- What the connections do

    def made(self, sock: socket.socket) -> asyncio.BufferedProtocol:
        """The connection on a socket that was accepted."""
        raise NotImplementedError

    def look_after(self) -> None:
        """Look again before long."""
        raise NotImplementedError

    def _make_room(self) -> None:
        raise NotImplementedError

    # ---- Listening

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Listen on this address only; the address."""
        return self._listen_on(tried_again(lambda: self._listening(host, port)))

    def _listening(self, host: str, port: int) -> socket.socket:
        """A socket that listens, its buffers bounded before the first connection comes. OSError."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound_buffers(listener, self.socket_buffer)
            listener.bind((host, port))
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        return listener

    def inherit(self, descriptor: int) -> tuple[str, int]:
        """Accept from a socket that listens already, beside other processes; the address.

        OSError: it is no listening socket.
        """
        listener = socket.socket(fileno=descriptor)
        if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError("it does not listen")
        bound_buffers(listener, self.socket_buffer)
        self.shared = True
        return self._listen_on(listener)

    def _listen_on(self, listener: socket.socket) -> tuple[str, int]:
        self.listener = listener
        self.listener.setblocking(False)
        self._accept_more()
        address: tuple[str, int] = self.listener.getsockname()
        return address

    def _accept_more(self) -> None:
        if self.listener and not self.accepting and self.lifecycle.facts.accepts:
            self.accepting = True
            self.loop.add_reader(self.listener, self._accept)

    def _accept_no_more(self) -> None:
        if self.listener and self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.listener)

    def _accept(self) -> None:
        """Accept while there is room; else make some, and leave those who come in the kernel meanwhile.

        Guards against running out of descriptors, which would hit connections to servers too. A place is
        free only once the loop has closed its descriptor, so this goes on from ``closed``.
        """
        assert self.listener
        if self._places_to_accept() < 1:
            self._accept_no_more()
            self._make_room()
            self.look_after()
        for _ in range(min(MOST_ACCEPTED, self._places_to_accept())):
            if self.leaving and self.most_left <= 0:
                self._close_listener()
                break
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                if self.leaving:
                    self._close_listener()
                break
            except OSError as error:
                log.warning("no connection accepted: %r", error)
                self._accept_no_more()  # until the next sweep
                self.look_after()
                break
            self.most_left -= 1
            self._enqueue(sock)
        self._admit_queued()

    def _enqueue(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.queue.add(sock)
        if len(self.queue) > self.spare:
            self.budget.take(Side.CLIENTS)
            self.queued_places += 1

    def _leaves_queue(self) -> bool:
        """One has left the queue; whether it had a place."""
        had = self.queued_places > max(0, len(self.queue) - self.spare)
        self.queued_places -= had
        return had

    def _places_to_accept(self) -> int:
        """Connections that there are descriptors for, while the queue holds those there is no memory for."""
        spare = max(0, self.spare - len(self.queue))
        return max(0, min(spare + self.budget.free(Side.CLIENTS), MOST_QUEUED - len(self.queue)))

    def _descriptors_free(self) -> int:
        """Places that a connection of the queue may have."""
        return self.budget.free(Side.CLIENTS) + self.queued_places

    def _admit_queued(self) -> None:
        """Admit those that wait, as far as there is memory.

        Some of those who have written are heard in any case, and refused where there is no room for what they
        ask. Guards against refusing them when their time is over.
        """
        self.admitting = False
        if not self.queue:
            return
        for sock in self.queue.departed():
            self.obligations.closes(peer_name(sock), Dues(), CloseReason.PEER_LEFT_QUEUE)
            sock.close()
            if self._leaves_queue():
                self.budget.give(Side.CLIENTS)
        while self.queue and len(self.tasks) < ADMITTED and self._places_free() > 0:
            self._begin_to_admit(self.queue.next())
        while self.queue.urgent and len(self.tasks) < MOST_HEARD and self._descriptors_free():
            self._begin_to_admit(self.queue.next())
        if self.queue and len(self.tasks) >= ADMITTED:
            self.admit_soon()
        elif self.queue:
            self._make_room()
            self.look_after()

    def admit_soon(self) -> None:
        """Admit those that wait in the next turn of the loop."""
        if self.queue and not self.admitting:
            self.admitting = True
            self.loop.call_soon(self._admit_queued)

    def _begin_to_admit(self, sock: socket.socket) -> None:
        if not self._leaves_queue():
            self.budget.take(Side.CLIENTS)
        task = self.loop.create_task(self._admit(sock))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _places_free(self) -> int:
        """Connections that there are descriptors and memory for.

        Some are taken whatever the memory holds. Guards against waiting for memory that nobody gives back.
        """
        cost = CONNECTION_BYTES + RECEIVED_PARTS * self.socket_buffer
        admitted = self.budget.taken[Side.CLIENTS] - self.queued_places
        fit = max(self.memory.left() / cost - len(self.tasks), LEAST_CONNECTIONS - admitted)
        return int(min(self._descriptors_free(), max(0, fit)))

    async def _admit(self, sock: socket.socket) -> None:
        name = peer_name(sock)
        try:
            with suppress(OSError):  # it can be served without
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await hand_over(self.loop, lambda: self.made(sock), sock)
        except Exception as error:  # of any kind: the place is free, and the end is told
            self.obligations.closes(name, Dues(), CloseReason.NOT_ADMITTED, error=error)
            self._place_free()

    def _close_queue(self) -> None:
        """Close who was accepted and never read, at the very end."""
        while self.queue:
            sock = self.queue.next()
            self.obligations.closes(peer_name(sock), Dues(), CloseReason.PROCESS_ENDS, unread(sock))
            sock.close()

    def _place_free(self) -> None:
        self.budget.give(Side.CLIENTS)
        self._accept_more()

    def accept_or_not(self) -> None:
        """As the lifecycle has it."""
        (self._accept_more if self.lifecycle.facts.accepts else self._accept_no_more)()

    def _close_listener(self) -> None:
        if self.listener:
            self._accept_no_more()
            self.listener.close()
            self.listener = None
