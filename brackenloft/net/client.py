"""One client's connection: commands in, replies out in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from dataclasses import replace
from typing import cast

from brackenloft.admission.rate import Pace
from brackenloft.answers import FAILED
from brackenloft.net import wire
from brackenloft.net.call import Call
from brackenloft.net.client_closing import Closing
from brackenloft.net.client_owner import ClientOwner
from brackenloft.net.client_state import ConnectionEvent
from brackenloft.net.kernel import age_s, has_gone, unread
from brackenloft.net.requests import CommandError
from brackenloft.net.resp import Commands, ProtocolError
from brackenloft.net.slots import Slot
from brackenloft.net.streams import STREAM_FROM
from brackenloft.obligations import Breach, CloseReason, Dues

log = logging.getLogger(__name__)

MOST_PIPELINED = 64  # commands of one connection in hand; what comes behind waits in the kernel
MOST_IN_HAND = 256 * 1024  # bytes of one connection's commands and replies in hand, beside CALL; the same
MOST_ERRORS = 16  # bad commands in a row, after which a connection is closed: no use comes of more
AGED_S = 0.05  # from which the time that a request has waited in the kernel counts: the loop's turns are less
# Bytes that a request in hand takes beside its command: 5.7 kB were seen with an attempt out. Guards against
# requests without number that are counted with no more than their own few bytes.
CALL = 6 * 1024


class Client(Closing):
    """One client's connection: the half that reads."""

    clients: ClientOwner[Client]

    def __init__(self, clients: ClientOwner[Client], sock: socket.socket) -> None:
        super().__init__(clients)
        self.socket = sock
        self.reader = Commands()
        self.age_s = 0.0  # of what came first, when it was read
        self.came_at = time.monotonic()  # about when what was read last had come to the kernel
        self.paused_at = self.came_at  # reading, the last time
        self.backlog = False  # something came meanwhile, and was not read yet
        self.asked = self.errors = 0  # requests so far, and bad commands in a row
        self.withheld: deque[bytes] = deque()  # errors behind the end, written only if a request follows
        self.spoke = self.waits_turn = False
        self.parting = False  # to be closed as soon as nothing is owed on it
        self.within = False  # a part of a command has come, and may be dropped
        self.timer: asyncio.TimerHandle | None = None  # while it lingers
        self.reads: Pace | None = None  # while it is within a command

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(self.clients.most_unsent)
        self.clients.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._happens(ConnectionEvent.LOST)
        self.transport = None
        if self.timer:
            self.timer.cancel()
        self.clients.closed(self)
        self._withdraw()

    def eof_received(self) -> None:
        """The client has gone, whatever it does not take yet: the transport writes that first."""
        self._withdraw()

    def departed(self) -> None:
        """It has closed the connection, or its machine reset it, while it was not read.

        What it sent before that is not read any more: nobody waits for it.
        """
        self._happens(ConnectionEvent.END)
        self.reader = Commands()
        self._withdraw()
        if self.transport and not self.transport.is_closing():
            self.clients.obligations.closes(self.name(), Dues(), CloseReason.PEER_LEFT)
            self.transport.close()

    def _withdraw(self) -> None:
        """Nobody waits for the answers any more."""
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.answer is None or slot.stream:
                self.clients.driver.client_gone(slot.request_id)
            if slot.stream:
                slot.stream.abandon()  # it may have ended at the server already

    # ---- Commands in

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the loop reads to; no more at once than there is memory for."""
        return self.clients.read_buffer.part(self.clients.room())

    def buffer_updated(self, nbytes: int) -> None:
        """So many bytes have come there."""
        self._received(self.clients.read_buffer.taken(nbytes))

    def _received(self, data: bytes) -> None:
        if self.half_closed:  # reading has stopped by then: nothing would answer what comes
            self.clients.obligations.breach(Breach.READ_TOO_LATE, self.name())
            return
        if not self.spoke and not self.reader.left:
            self.clients.roll.stirs(self)
            self.age_s = age_s(self.socket)
        self._note_arrival()
        if self.reads:
            self.reads.moved(len(data), time.monotonic())
        self.reader.feed(data)
        self.hold(len(data), in_hand=False)
        self._read()

    def _note_arrival(self) -> None:
        """Reckon when what has just been read came to the kernel, early rather than late.

        Guards against telling a server a time that the client spent in front of a paused connection.
        """
        now = time.monotonic()
        self.came_at = now
        if not self.spoke:
            self.came_at -= self.age_s
        elif self.backlog:
            self.came_at = min(now - age_s(self.socket), self.paused_at + AGED_S)
        elif self._may_have_waited():
            self.came_at -= age_s(self.socket)
        self.backlog = False

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
            or clients.held >= clients.most_held
            or (clients.parked.count > 0 and some >= clients.depth())
        )

    def _read(self) -> None:
        """Read commands, but no more than may be in hand at once, and not so many that others wait.

        Guards against a client that pipelines without end. A reply that a command gets at once calls
        ``flush``, which may come back here: ``reading`` says so.
        """
        self.reading, self.within, took, within = True, False, 0, False
        most = self.clients.turns.batch()
        while self.transport and not self._full() and took < most:
            before = self.reader.left
            try:
                command = self.reader.command()
            except ProtocolError as error:
                self._break(f"Protocol error: {error}")
                break
            if command is None:
                within = before > 0
                break
            took += 1
            self.spoke = True
            self._take(command, before - self.reader.left)
        self.reading = False
        self.within = within
        if within:
            if max(self.reader.left, self.reader.needed) > STREAM_FROM:  # by what its header promises
                self.clients.intake.begins(self)
            self.clients.relieve()
        elif self in self.clients.intake:
            self.clients.next_long(self)
        if took == most and not self.waits_turn:
            self.waits_turn = True
            self.clients.turns.wait(self)
        self.throttle()
        self.clients.sort(self, self.reader.left > 0, took > 0)  # part of one, or some not taken yet
        self._leave_if_done()

    def read_no_more(self) -> None:
        """Take nothing more from the kernel; what was read already is answered at once, then it is closed."""
        self.throttle()
        self._read()

    def take_turn(self) -> None:
        """Go on with what was read, unless its client has left meanwhile: that is not read while it waits."""
        self.waits_turn = False
        if self.transport is None:
            return
        if has_gone(self.socket):
            self.departed()
        else:
            self._read()

    def throttle(self) -> None:
        """Read on, or no further, as there is room."""
        if self.transport is None or self.transport.is_closing():
            return
        pause = (
            self.ending
            or self.half_closed
            or self.clients.closing
            or self.waits_turn
            or self._full()
            or not self.clients.may_send_on(self)
        )
        if pause != self.paused:
            self.paused = pause
            self._note_pause(pause)
            if self.reads:
                (self.reads.pause if pause else self.reads.resume)(time.monotonic())
            (self.transport.pause_reading if pause else self.transport.resume_reading)()
        if pause and not self.waits_turn:  # that lasts for a turn of the loop alone
            self.clients.departures.watch(self, self.socket)
        else:
            self.clients.departures.forget(self)

    def _note_pause(self, pause: bool) -> None:
        now = time.monotonic()
        if pause and not self.backlog:
            self.paused_at = now
        elif not pause and now - self.paused_at >= AGED_S:
            self.backlog = unread(self.socket)

    def cut_off(self) -> None:
        """End it for the memory that it holds: at once, or after an error where it takes what it is sent."""
        self.within = False
        if self.stuck:
            self.hold(-self.unsent, in_hand=False)
            self.unsent = 0
            self.close(CloseReason.TAKES_NOTHING)
        elif not self.ending:
            self._break("out of memory")

    def _break(self, why: str) -> None:
        """What can't be read is answered and the connection closed, after the replies before it."""
        log.info("a client is turned away: %s", why)
        self._happens(ConnectionEvent.END)
        self.hold(-self.reader.left, in_hand=False)
        self.reader = Commands()
        self.clients.sort(self, within=True, took=False)
        self._reply(f"-ERR {why}\r\n".encode("ascii", "replace"))
        self.throttle()

    def _take(self, command: list[bytes], size: int) -> None:
        name = command[0].upper()
        if name in (b"CALL.GET", b"CALL.POST"):
            if self._may_have_closed() and has_gone(self.socket):
                self.departed()
            else:
                self._call(command, size)
            return
        self.hold(-size, in_hand=False)
        if name == b"PING":
            self._reply(self.clients.pong())
        else:
            self._refuse("unknown command")

    def _may_have_closed(self) -> bool:
        """Whether the peer may have closed the connection long before its command was read.

        A connection that waited in the listener's backlog, or a process that stood still, brings a command
        and the FIN behind it in one turn of the loop, and the FIN is read later in that turn or in the next.
        While the loop's lag is watched, ``Driver`` asks the kernel where the loop was held up. Guards against
        attempts for clients that have gone; costs one ``poll`` for a connection's first request, or for a
        request that finds nothing in hand.
        """
        return not self.asked or not self.clients.driver.lag.watching

    def _call(self, command: list[bytes], size: int) -> None:
        driver = self.clients.driver
        try:
            request, encode = self.clients.requests.read(command)
            if request.request_id in driver.calls:
                raise CommandError("a request of this id is in hand")
        except ValueError as error:
            self.hold(-size, in_hand=False)
            self._refuse(str(error))
            return
        self.errors = 0
        self.asked += 1
        if self.asked == 1:
            self.clients.asking += 1
            self.clients.look_after()
        # Guards against who never pauses as the process empties: left unread, its commands would be closed
        # over when their time has gone by. One that comes alone is served, and the connection closed behind.
        too_late = self.ending or self.clients.closing or (bool(self.slots) and self.clients.finishing())
        if too_late or not self.clients.may_take(size):
            self.hold(-size, in_hand=False)
            while self.withheld:
                self._reply(self.withheld.popleft())
            # Guards against commands in hand that together outgrow the memory.
            self._reply(wire.answer_line(driver.turn_away(request.class_name)))
            return
        self.held += CALL
        self.clients.held += CALL
        self.in_hand += size + CALL
        slot = Slot(self, None, request.request_id, size + CALL)
        self.slots.append(slot)
        slot.call = Call(request.request_id, encode, slot.fill, slot.open)
        slot.call.left = self.has_left
        waited_s = time.monotonic() - self.came_at
        if waited_s >= AGED_S:
            request = replace(request, patience_ms=max(0.0, request.patience_ms - waited_s * 1000.0))
        if self.asked == 1:
            request = replace(
                request,
                scarcity=self.clients.scarcity(),
                turnover=self.clients.turnover(),
                age_ms=self.age_s * 1000.0 if self.age_s >= AGED_S else 0.0,
            )
        driver.request(slot.call, request, request.patience_ms)

    def long_held(self) -> int:
        """Bytes of long commands here, those that are in hand and one that is not whole yet."""
        unread = self.held - self.in_hand if self in self.clients.intake else 0
        return unread + sum(slot.size for slot in self.slots if slot.size > STREAM_FROM and slot.call)

    def unheard(self) -> bool:
        """Whether nothing was read on it so far, though something has come."""
        return not self.spoke and not self.reader.left and not self.ending and unread(self.socket)

    def has_left(self) -> bool:
        """Whether the kernel knows that it has gone, though that was not read yet."""
        return self.transport is None or has_gone(self.socket)

    def turned_away(self) -> None:
        """Nothing was sent on for a request. If it was the first one, and places are short, it ends here.

        Guards against connections that hold a place for seconds for nothing.
        """
        if self.asked == 1 and self.clients.short():
            self.parting = True

    def _refuse(self, why: str) -> None:
        """A bad command: an error, and after many in a row the end."""
        reply = f"-ERR {why}\r\n".encode("ascii", "replace")
        if self.ending:
            self.withheld.append(reply)
            return
        self.errors += 1
        if self.errors >= MOST_ERRORS:
            self._happens(ConnectionEvent.END)
        self._reply(reply)

    def overdue(self) -> None:
        """A command that was owed has not come, or an end has taken too long.

        Guards against clients that say nothing, or stop within a command: they hold a place and memory.
        What they sent before is not waited for: it has failed.
        """
        if self.transport is None:
            return
        if self.ending and not self.slots:
            return  # it has replies to take still, and its pace is watched
        if not self.ending:
            self._break("timeout")
        for slot in list(self.slots):
            if slot.answer is None and not (slot.stream and slot.stream.ended):
                self.clients.driver.client_gone(slot.request_id, failed=True)
                slot.fill(FAILED)

    def _rests(self) -> None:
        if self not in self.clients.roll:
            self.clients.rests(self)

    def _is_stuck(self) -> None:
        self.clients.stuck[self] = None
        self.clients.look_after()

    def _takes_again(self) -> None:
        self.clients.stuck.pop(self, None)
