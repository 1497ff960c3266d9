"""One client's connection: commands in, replies out in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from dataclasses import replace
from math import inf
from typing import cast

from brackenloft.admission.account import Held
from brackenloft.answers import FAILED, Refused
from brackenloft.net import wire
from brackenloft.net.call import Call
from brackenloft.net.client_owner import ClientOwner
from brackenloft.net.client_reading import AGED_S, CALL, Reading
from brackenloft.net.client_state import ConnectionEvent
from brackenloft.net.kernel import has_gone, may_hide_end, unread
from brackenloft.net.resp import Commands, ProtocolError
from brackenloft.net.slots import Slot
from brackenloft.net.streams import STREAM_FROM
from brackenloft.obligations import Breach, CloseReason

log = logging.getLogger(__name__)

MOST_ERRORS = 16  # bad commands in a row, after which a connection is closed: no use comes of more


class Client(Reading):
    """One client's connection: what its commands come to."""

    clients: ClientOwner[Client]

    def __init__(self, clients: ClientOwner[Client], sock: socket.socket) -> None:
        super().__init__(clients, sock)
        self.asked = self.errors = 0  # requests so far, and bad commands in a row
        self.withheld: deque[bytes] = deque()  # errors behind the end, written only if a request follows
        self.parting = False  # to be ended as soon as it rests, while places are short
        self.within = False  # a part of a command has come, and may be dropped
        self.timer: asyncio.TimerHandle | None = None  # while it lingers
        self.waits_until: float | None = None  # the client of a command that waits to be read whole

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(self.clients.most_unsent)
        self.clients.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._note_unasked_end(exc)
        self._happens(ConnectionEvent.LOST)
        self.transport = None
        if self.timer:
            self.timer.cancel()
        self.clients.closed(self)
        self._withdraw()

    def eof_received(self) -> None:
        """The client has gone, whatever it does not take yet: the transport writes that first."""
        self._note_end(CloseReason.PEER_LEFT)
        self._withdraw()

    def departed(self) -> None:
        """It has closed the connection, or its machine reset it, while it was not read.

        What it sent before that is not read any more: nobody waits for it.
        """
        if self.transport and not self.transport.is_closing():
            self._note_end(CloseReason.PEER_LEFT)
        self._happens(ConnectionEvent.END)
        self.reader = Commands()
        self._withdraw()
        if self.transport:
            self.transport.close()

    def _drop_replies_behind(self) -> None:
        """The first reply is a value that broke off: what stood behind it would be taken for its rest.

        These requests get no answer, which is a violation; it is counted as one.
        """
        first = self.slots.popleft()
        if self.slots or self.unparsed:
            behind = " ".join(slot.request_id for slot in self.slots)
            self.clients.obligations.breach(
                Breach.CLOSED_UNANSWERED, f"{self.peer_name}: behind a value that broke off, {behind}"
            )
        for slot in self.slots:
            slot.release()
        self._withdraw()
        self.hold(-self.reader.left, kind=Held.COMMANDS)
        self.reader = Commands()
        self.slots.append(first)

    def _withdraw(self) -> None:
        """Nobody waits for the answers any more."""
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.answer is None or slot.stream:
                self.clients.driver.client_gone(slot.request_id)
            if slot.stream:
                slot.stream.abandon()  # it may have ended at the server already

    # ---- Commands in

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
            self.spoke, self.waits_until = True, None
            self.came_at = self._take_arrival(before - self.reader.left)
            self._take(command, before - self.reader.left)
        self.reading = False
        self.within = within
        if within:
            self.clients.is_within(self)
        else:
            self.clients.is_whole(self)
        if took == most and not self.waits_turn:
            self.waits_turn = True
            self.clients.turns.wait(self)
        self.throttle()
        self.clients.sort(self, self.reader.left > 0, took > 0)  # part of one, or some not taken yet
        self._leave_if_done()

    def read_no_more(self) -> None:
        """Take nothing more from the kernel; what was read already is answered at once, then it is closed.

        A command that was read in part is refused: its client may have written all of it.
        """
        self.throttle()
        self._read()

    def _break(self, why: str, reply: bytes = b"") -> None:
        """What can't be read is answered and the connection closed, after the replies before it."""
        log.info("a client is turned away: %s (%s, after %d requests)", why, self.peer_name, self.asked)
        self._happens(ConnectionEvent.END)
        self.hold(-self.reader.left, kind=Held.COMMANDS)
        self.reader, self.within = Commands(), False
        self.clients.is_whole(self)
        self.clients.sort(self, within=True, took=False)
        self._reply(reply or f"-ERR {why}\r\n".encode("ascii", "replace"))
        self.throttle()

    def time_is_up(self, now: float) -> bool:
        """Whether the time of a command that waits to be read whole is over; ``now`` by time.monotonic()."""
        if self.waits_until is None:
            wait_ms = wire.wait_ms(self.reader.words)
            self.waits_until = inf if wait_ms is None else self.arrivals.newest() + wait_ms / 1000.0
        return now >= self.waits_until

    def refuse_partial(self, why: str) -> None:
        """Refuse a command that was never read whole. Its rest can't be told from a next one: the end."""
        if not self.ending:
            self._break(why, wire.answer_line(Refused()))

    def _take(self, command: list[bytes], size: int) -> None:
        name = command[0].upper()
        if name in (b"CALL.GET", b"CALL.POST"):
            if self._may_have_closed() and has_gone(self.socket):
                self.departed()
            else:
                self._call(command, size)
            return
        self.hold(-size, kind=Held.COMMANDS)
        if name == b"PING":
            self._reply(self.clients.pong())
        else:
            self._refuse("unknown command")

    def _may_have_closed(self) -> bool:
        """Whether the peer may have closed the connection long before its command was read.

        A connection that waited in the listener's backlog, or a process that stood still, brings a command
        and the FIN behind it in one turn of the loop, and the FIN is read later in that turn or in the next.
        While the loop's lag is watched, ``Driver`` asks the kernel where the loop was held up. Guards against
        attempts for clients that have gone; costs one ``poll`` for a connection's first request, for one that
        finds nothing in hand, and for one that waited here behind others.
        """
        return not self.asked or not self.fresh or not self.clients.driver.lag.watching

    def _call(self, command: list[bytes], size: int) -> None:
        driver = self.clients.driver
        try:
            request, encode = self.clients.requests.read(command)
            driver.check_new(request.request_id, request.is_write)
        except ValueError as error:
            self.hold(-size, kind=Held.COMMANDS)
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
            self.hold(-size, kind=Held.COMMANDS)
            while self.withheld:
                self._reply(self.withheld.popleft())
            # Guards against commands in hand that together outgrow the memory.
            self._reply(wire.answer_line(driver.turn_away(request.class_name)))
            return
        slot = Slot(self, None, request.request_id, size + CALL)
        self.slots.append(slot)
        self.hold(size + CALL, Held.IN_HAND)
        self.hold(-size, kind=Held.COMMANDS)
        slot.call = Call(request.request_id, encode, slot.fill, slot.open)
        slot.call.left, slot.call.came_at = self.has_left, self.came_at
        slot.call.unsure = self.may_have_left
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

    def hold(self, size: int, kind: Held) -> None:
        """Count bytes that are held for this connection, or less of them."""
        super().hold(size, kind)
        if size < 0 and kind is Held.IN_HAND:
            self.clients.release_reserve()

    def long_in_hand(self) -> int:
        """Bytes of long commands in hand."""
        return sum(slot.size for slot in self.slots if slot.kind is Held.IN_HAND and slot.size > STREAM_FROM)

    def unheard(self) -> bool:
        """Whether nothing was read on it so far, though something has come."""
        return not self.spoke and not self.reader.left and not self.ending and unread(self.socket)

    def has_left(self) -> bool:
        """Whether the kernel knows that it has gone, though that was not read yet."""
        return self.transport is None or has_gone(self.socket)

    def may_have_left(self) -> bool:
        """Whether its end could stand behind what was not read yet, where the kernel does not know of it."""
        return self.transport is not None and may_hide_end(self.socket)

    def turned_away(self) -> None:
        """Nothing was sent on for a request. If it was the first one, and places are short, it ends soon.

        Guards against connections that hold a place for seconds for nothing.
        """
        if self.asked == 1 and self.clients.short():
            self.parting = True
            self.clients.part(self)

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
