"""The half of a client's connection that reads: how much at once, how far ahead, and when it stops."""

from __future__ import annotations

import socket
import time
from typing import Any

from brackenloft.admission.account import Held
from brackenloft.admission.memory import RECEIVED_PARTS
from brackenloft.admission.rate import Pace
from brackenloft.net.arrivals import Arrivals
from brackenloft.net.client_closing import Closing
from brackenloft.net.client_owner import ClientOwner
from brackenloft.net.close_audit import PeerHistory
from brackenloft.net.kernel import age_s, has_gone, peer_name, unread
from brackenloft.net.resp import Commands
from brackenloft.obligations import Breach

MOST_PIPELINED = 64  # commands of one connection in hand; what comes behind waits
MOST_IN_HAND = 256 * 1024  # bytes of one connection's commands and replies in hand, beside CALL; the same
MOST_AHEAD = 1024 * 1024  # bytes of one connection that are read and not taken: thousands of usual commands
AGED_S = 0.05  # from which the time that a request has waited in the kernel counts: the loop's turns are less
# Bytes that a request in hand takes beside its command: 5.7 kB were seen with an attempt out. Guards against
# requests without number that are counted with no more than their own few bytes.
CALL = 6 * 1024


class Reading(Closing):
    """Reads while there is room, and a little ahead of what may be taken."""

    clients: ClientOwner[Any]

    def __init__(self, clients: ClientOwner[Any], sock: socket.socket) -> None:
        super().__init__(clients)
        self.socket = sock
        self.peer_name = peer_name(sock)
        self.peer_history = PeerHistory(sock)
        self.reader = Commands()
        self.age_s = 0.0  # of what came first, when it was read
        self.came_at = time.monotonic()  # about when the command that was taken last had come to the kernel
        self.arrivals = Arrivals()
        self.fresh = False  # what is taken now has just been read
        self.blocked = False  # no command is taken now, whether or not it is read ahead
        self.paused_at = self.still_since = self.came_at  # reading, the last time
        self.still_s = 0.0  # for which reading stood still before what is read next, some of which had come
        self.backlog = False  # something came meanwhile, and was not read yet
        self.spoke = self.waits_turn = False
        self.reads: Pace | None = None  # while it is within a command

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the loop reads to; no more at once than there is memory for."""
        return self.clients.read_buffer.part(self.clients.room_for(self))

    def buffer_updated(self, nbytes: int) -> None:
        """So many bytes have come there."""
        # A full read: there is more, and an end may stand behind it, which is looked for first.
        more = nbytes >= len(self.clients.read_buffer.part(self.clients.room_for(self)))
        self._received(self.clients.read_buffer.taken(nbytes), more)

    def _received(self, data: bytes, more: bool) -> None:
        if self.half_closed:  # reading has stopped by then: nothing would answer what comes
            self.clients.obligations.breach(Breach.READ_TOO_LATE, self.peer_name)
            return
        if not self.spoke and not self.reader.left:
            self.clients.roll.stirs(self)
            self.age_s = age_s(self.socket)
        self.arrivals.note(len(data), self._arrival())
        if self.reads:
            self.reads.moved(len(data), time.monotonic())
        self.reader.feed(data)
        self.hold(len(data), kind=Held.COMMANDS)
        self.clients.has_read(self)
        if more and not self.waits_turn and self._reads_ahead():
            self.waits_turn = True
            self.clients.turns.wait(self)
        if self.waits_turn:
            self.throttle()
            return
        self.fresh = True
        self._read()
        self.fresh = False

    def _arrival(self) -> float:
        """Reckon when what has just been read came to the kernel, early rather than late.

        Guards against telling a server a time that the client spent in front of a paused connection, and
        against an answer that comes as late: what follows a pause may lie in the client's kernel by then.
        """
        now = time.monotonic()
        came_at = now - self.still_s
        if not self.spoke:
            came_at -= self.age_s
        elif self.backlog:
            came_at = min(came_at, now - age_s(self.socket), self.paused_at + AGED_S)
        elif self._may_have_waited():
            came_at -= age_s(self.socket)
        self.backlog = False
        return came_at

    def _take_arrival(self, size: int) -> float:
        """When the last of the next so many bytes came; what comes behind the last read was written later."""
        came_at = self.arrivals.take(size)
        if self.arrivals.in_last_read():
            self.still_s = 0.0
        return came_at

    def _may_have_waited(self) -> bool:
        """Whether the loop was held up before it read this, or may have been with nothing in hand."""
        lag = self.clients.driver.lag
        return not lag.watching or lag.held_up()

    def _full(self) -> bool:
        """Whether no more commands may be in hand now; who has none may always have one."""
        some, clients = len(self.slots), self.clients
        if clients.closing:
            return False  # nothing more is read, and each command is answered at once
        if self.stuck or self.in_hand > MOST_IN_HAND + CALL * some:
            return True
        if not some:
            return False
        stream = self.slots[0].stream
        if stream and stream.begun:
            return True  # what it is read now could not be answered if the rest of the value never came
        return (
            some >= MOST_PIPELINED
            or not clients.has_room()
            or (clients.parked.count > 0 and some >= clients.depth())
        )

    def take_turn(self) -> None:
        """Go on with what was read, unless its client has left meanwhile: that is not read while it waits."""
        self.waits_turn = False
        if self.transport is None:
            return
        if has_gone(self.socket):
            self.departed()
        else:
            self._read()

    def departed(self) -> None:
        """The client has closed the connection."""
        raise NotImplementedError

    def throttle(self) -> None:
        """Read on, or no further, as there is room."""
        if self.transport is None or self.transport.is_closing():
            return
        full = self.waits_turn or self._full()
        pause = (
            self.ending
            or self.half_closed
            or self.clients.closing
            or (full and not self._reads_ahead())
            or not self.clients.may_send_on(self)
        )
        self.blocked = full or pause
        if self.reads:
            (self.reads.pause if self.blocked else self.reads.resume)(time.monotonic())
        if pause != self.paused:
            self.paused = pause
            self.account.change(Held.RECEIVED, RECEIVED_PARTS * self.clients.socket_buffer if pause else 0)
            self._note_pause(pause)
            (self.transport.pause_reading if pause else self.transport.resume_reading)()
        if pause and not self.waits_turn:  # its end is looked for at its turn
            self.clients.departures.watch(self, self.socket)
        else:
            self.clients.departures.forget(self)

    def _reads_ahead(self) -> bool:
        """Whether it is read on though no command is taken now, so that its end is seen behind what it sent.

        Not behind a value that it has in part: who breaks that off takes along what was read.
        """
        stream = self.slots[0].stream if self.slots else None
        if self.stuck or (stream and stream.begun):
            return False
        return self.reader.left < MOST_AHEAD and self.clients.may_read_ahead()

    def _note_pause(self, pause: bool) -> None:
        now = time.monotonic()
        if pause:
            self.still_since = now
            if not self.backlog:
                self.paused_at = now
        elif now - self.paused_at >= AGED_S:
            self.backlog = unread(self.socket)
            if self.backlog:
                self.still_s += now - self.still_since
