"""The listener for clients and the connections it accepted, bounded in number and in what they hold."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import OrderedDict
from itertools import islice
from math import inf

from brackenloft import interface as api
from brackenloft.admission.account import Held
from brackenloft.admission.budget import Budget, Side
from brackenloft.admission.memory import CONNECTION_BYTES
from brackenloft.admission.rate import Least, Pace
from brackenloft.admission.roll import Roll, Standing
from brackenloft.admission.turns import depth
from brackenloft.lifecycle import Lifecycle
from brackenloft.net.client import Client
from brackenloft.net.client_closing import FRESH_S
from brackenloft.net.client_memory import ClientMemory
from brackenloft.net.client_reading import MOST_PIPELINED
from brackenloft.net.departures import Departures
from brackenloft.net.driver import Driver
from brackenloft.net.kernel import age_s, waiting_connections
from brackenloft.net.limits import BufferLimits
from brackenloft.net.read_buffer import ReadBuffer
from brackenloft.net.read_turns import ReadTurns
from brackenloft.net.requests import Requests
from brackenloft.obligations import CloseReason

log = logging.getLogger(__name__)

COMMAND_S = 2.0  # for a first command, from connecting on, and for the rest of one that has begun
READ_RATE = 16 * 1024  # bytes a second of a command that takes longer than COMMAND_S: a poor link brings more
LATE_S = 0.025  # a sweep so late says that the loop was held up: nobody is too slow for that
SHORT = 0.5  # share of the places taken from which they are given up as soon as may be
IDLE_S = 2.0  # a connection on which no request is open may be closed after that
SERVED_S = 0.1  # about what it is open for before
SWEEP_S = 0.05  # between two looks at who is overdue
FINISH_S = 1.5  # while the process empties: for who is within a command, and for commands without a gap: none
# may be held after 4 s on which a request came within 2 s
FINISH_SHARE = 0.5  # of the time that is left, where that is less: the rest is for what was taken before
ROOM = 16  # connections closed at once when there is no room for another


class Clients(ClientMemory):
    """The listener and the connections it accepted, bounded in number and in what they hold."""

    def __init__(
        self,
        driver: Driver,
        settings: api.Settings,
        budget: Budget,
        limits: BufferLimits,
        usual: int,
        lifecycle: Lifecycle,
    ) -> None:
        super().__init__(budget, lifecycle, limits)
        self.driver, self.requests = driver, Requests(settings)
        self.parked = driver.gateway.parked
        self.most_unsent = limits.socket_buffer
        self.read_buffer = ReadBuffer()
        self.departures: Departures[Client] = Departures(asyncio.get_running_loop(), Client.departed)
        self.slow: dict[Client, None] = {}  # within a command for long, but not too slow so far
        self.stuck: dict[Client, None] = {}  # whose answers pile up here
        self.swept = time.monotonic()
        self.connections: OrderedDict[Client, None] = OrderedDict()
        self.owing: OrderedDict[Client, float] = OrderedDict()  # a command or an end, since when
        self.parting: OrderedDict[Client, None] = OrderedDict()  # to be ended as soon as they rest
        self.roll: Roll[Client] = Roll()  # who does nothing now, and may be closed for it
        self.asking = 0  # connections that have asked for something
        self.turns = ReadTurns(self.loop)
        self.usual = usual  # connections that clients open for requests by themselves; 0 for any number
        self.emptying = False
        self.closing = False  # nothing more is read, and what was read is answered at once
        self.obligations = driver.obligations
        self.finish_at = inf  # by the loop's clock
        self.sweeper: asyncio.TimerHandle | None = None  # while there is something to look at

    # ---- Coming and going

    def pong(self) -> bytes:
        """The front takes in a gateway that says PONG: not before it knows whom to send to."""
        if self.lifecycle.facts.pong:
            return b"+PONG\r\n"
        return b"-LOADING %b\r\n" % self.lifecycle.state.encode()

    def made(self, sock: socket.socket) -> Client:
        """The connection on a socket that was accepted."""
        return Client(self, sock)

    def _make_room(self) -> None:
        """Close who is leaving, who has said nothing yet, and who is idle, the longest first.

        Guards against clients that keep a connection for good and so make the usual ones open theirs anew.
        Never one within a command or with a request in hand.
        """
        self._end_parting()
        now, room = self.loop.time(), ROOM
        for client in list(islice(self.owing, 4 * ROOM)):
            if client.ending:
                room -= client.drop()
        for client in list(self.roll.closable(now, FRESH_S, IDLE_S, max(0, room))):
            if client.drop():
                self.roll.stirs(client)
            else:
                self.roll.later(client)  # it has a command to be read
        if self.budget.free(Side.CLIENTS) and not self._places_free():
            self._refuse_the_newest(ROOM)

    def part(self, client: Client) -> None:
        """A connection is to be ended as soon as it rests."""
        self.parting[client] = None
        self.look_after()

    def _end_parting(self) -> None:
        """End who was turned away and has not asked again at once."""
        for client in list(islice(self.parting, 4 * ROOM)):
            client.flush()
            if client.half_closed:
                self.parting.pop(client, None)
            elif client in self.parting:
                self.parting.move_to_end(client)

    def scarcity(self) -> float:
        """The share of the places for requests that is taken, by one's own count or the clients'.

        For the request that has come last: its own place does not count.

        Connections that never asked do not count: turning requests away makes no room where these hold it.
        """
        return min(1.0, max(0, self.asking - 1) / self._for_requests())

    def depth(self) -> int:
        """Commands that one connection may have in hand now."""
        asking = len(self.connections) - len(self.roll.at)
        return depth(MOST_PIPELINED, self.parked.count, len(self.driver.calls), asking)

    def _for_requests(self) -> int:
        """Places that clients may hold for requests."""
        places = self.budget.limit(Side.CLIENTS)
        return min(self.usual, places) if self.usual else places

    def turnover(self) -> float:
        """Places for requests that come free in a second, when all are held for as long as they may be."""
        return self._for_requests() / (IDLE_S + SERVED_S)

    def short(self) -> bool:
        """Whether places are to be given up as soon as may be."""
        return max(self.scarcity(), self.places / self.budget.limit(Side.CLIENTS)) > SHORT

    @property
    def places(self) -> int:
        """Descriptors taken: counted from accepting until the loop has closed them."""
        return self.budget.taken[Side.CLIENTS]

    def opened(self, client: Client) -> None:
        """A new connection; its first command is due."""
        client.account.hold(Held.CONNECTION, CONNECTION_BYTES)
        self.connections[client] = None
        self.owing[client] = self.loop.time()
        self.look_after()
        # It has said nothing since it came to the kernel, however long it waited there for a place.
        self.roll.rests(client, Standing.FRESH, self.loop.time() - age_s(client.socket))

    def closed(self, client: Client) -> None:
        """A connection has ended, and its descriptor is free."""
        self.connections.pop(client, None)
        self.departures.forget(client)
        self.owing.pop(client, None)
        self.slow.pop(client, None)
        self.stuck.pop(client, None)
        self.parting.pop(client, None)
        self.is_whole(client)
        self.roll.stirs(client)
        client.account.close()
        self.asking -= client.asked > 0
        self._place_free()
        self.admit_soon()

    def sort(self, client: Client, within: bool, took: bool) -> None:
        """Note what a connection is at: within a command, at its end, idle, or with requests in hand."""
        if took or not within:
            client.reads = None
            self.slow.pop(client, None)
        if within and client.reads is None and not client.ending:
            client.reads = Pace(Least(READ_RATE, COMMAND_S, COMMAND_S), time.monotonic())
            if client.blocked:
                client.reads.pause(time.monotonic())
        if took:
            self.owing.pop(client, None)
        if within or client.ending:
            self.roll.stirs(client)
            if client not in self.slow:
                self.owing.setdefault(client, self.loop.time())
                self.look_after()
        elif client.spoke:
            self.owing.pop(client, None)
            if client.slots or client.stuck:
                self.roll.stirs(client)
            else:
                self.rests(client)

    def rests(self, client: Client) -> None:
        """All that came on a connection has been answered."""
        if client.spoke and not client.stuck and client not in self.owing and client not in self.slow:
            # Who was never served has had nothing open since it came to the kernel, however long that took.
            since = self.loop.time() - (0.0 if client.asked else client.age_s)
            self.roll.rests(client, Standing.ONCE if client.asked == 1 else Standing.IDLE, since)

    def look_after(self) -> None:
        """Sweep until nobody owes anything and there is room.

        Guards against hundreds of idle gateways that each wake up twenty times a second for nothing.
        """
        if self.sweeper is None:
            self.swept = time.monotonic()
            self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def _busy(self) -> bool:
        return bool(
            self.owing
            or self.slow
            or self.stuck
            or self.commands.waiting
            or self.emptying
            or self._waits_for_place()
            or self.short()
        )

    def _waits_for_place(self) -> bool:
        unheard = self.listener and not self.accepting and self.lifecycle.facts.accepts
        return bool(unheard or self.queue)

    def _sweep(self) -> None:
        self.sweeper = None
        self._end_the_overdue()
        self._cut_the_slow()
        if self.commands.waiting:
            self._grant()
            self._end_waits()
        self._admit_queued()
        if self._places_to_accept() > 0:
            self._accept_more()
            if self.leaving and self.listener:
                self._accept()  # it ends once nobody waits in the kernel, of which nothing tells
        if self.short() or self._waits_for_place():
            self._make_room()  # somebody waits, or will before long, here or at the clients
        if self.emptying:
            self._empty()
        if self._busy():
            self.look_after()

    def _end_the_overdue(self) -> None:
        """End who owes a first command or an end for too long; watch who is within a command for as long."""
        now = self.loop.time()
        while self.owing:
            client, since = next(iter(self.owing.items()))
            if since > now - COMMAND_S:
                break
            del self.owing[client]
            if client.unheard():
                self.owing[client] = now  # it is the loop that is late
            elif client.reads and not client.ending:
                self.slow[client] = None
            else:
                client.overdue()

    def _cut_the_slow(self) -> None:
        """End who reads or writes below the least rate."""
        now = time.monotonic()
        late = max(0.0, now - self.swept - SWEEP_S)
        late, self.swept = late if late > LATE_S else 0.0, now
        for client in list(self.slow):
            if client.reads:
                client.reads.excuse(late)
            if client.reads is None or client.reads.too_slow(now):
                del self.slow[client]
                self.bites.bite("least rate of commands", "a client is turned away")
                client.overdue()
        room_wanted = self._waits_for_place()
        for client in list(self.stuck):
            client.peer_history.sample()
            if client.takes_nothing(now, late) and room_wanted:
                self.bites.bite("least rate of answers", "a client that takes nothing is cut off")
                client.close(CloseReason.TAKES_NOTHING)
            elif client.takes_too_little(now, late):
                self.bites.bite("least rate of answers", "a client that takes too little is cut off")
                client.close(CloseReason.TAKES_TOO_LITTLE)

    # ---- The end

    def busy(self) -> bool:
        """Whether there are connections, in whatever state, or more may come.

        Guards against ending while the last connections are being handed to the loop, still unread.
        """
        return bool(self.connections or self.tasks or self.queue or self.listener)

    def stop_listening(self, left_s: float = inf) -> None:
        """Close each connection once nothing is owed on it, accept who waits in the kernel, then nobody.

        ``left_s``: how long the process still has.

        Guards against losing a crowd's requests: the kernel has taken what waits for a place, and resets it
        when the listener closes. The places come free here, as who rests is closed. Guards as well against a
        crowd that comes back as fast as it is closed, and keeps the process busy to its end.
        """
        self.leaving = True
        self.empty()
        self.finish_at = min(self.finish_at, self.loop.time() + FINISH_SHARE * left_s)
        if self.shared:
            self._close_listener()  # others hold it: nobody is reset
        elif self.listener:
            self.most_left = waiting_connections(self.listener)
            self._accept_more()
            self._accept()

    def empty(self) -> None:
        """From now on, close each connection once nothing is owed on it."""
        if not self.emptying:
            self.emptying, self.finish_at = True, self.loop.time() + FINISH_S
        self.look_after()
        self._empty()

    def _empty(self) -> None:
        for client in list(self.connections):
            client.flush()

    def finishing(self) -> bool:
        """Whether it is time that even those who never pause come to an end: no more is taken on."""
        return self.emptying and self.loop.time() >= self.finish_at

    def keep(self) -> None:
        """Empty no more."""
        self.emptying, self.finish_at = False, inf
        for client in list(self.connections):
            client.flush()  # and read on, where that had stopped

    def read_no_more(self) -> None:
        """Take no more commands from the kernel, and answer at once what was read."""
        self.closing = True
        for client in list(self.connections):
            client.read_no_more()

    def delivered(self) -> bool:
        """Whether the peers' machines have all answers."""
        return not any(client.undelivered() or client.slots for client in self.connections)

    def abort(self) -> None:
        """Close what is left, at the very end."""
        if self.sweeper:
            self.sweeper.cancel()
        self._close_listener()
        self._close_queue()
        self.departures.close()
        for client in list(self.connections):
            client.close(CloseReason.PROCESS_ENDS)
