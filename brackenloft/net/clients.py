"""The listener for clients: commands in, replies out in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
import re
import socket
import struct
import time
from collections import OrderedDict, deque
from contextlib import suppress
from dataclasses import replace
from itertools import islice
from typing import Any, cast

from brackenloft import interface as api
from brackenloft.admission.budget import Budget, Side
from brackenloft.admission.intake import Intake
from brackenloft.admission.rate import Least, Pace
from brackenloft.admission.roll import Roll, Standing
from brackenloft.admission.room import relief
from brackenloft.admission.turns import depth
from brackenloft.answers import FAILED, Answer, Opened
from brackenloft.checks import Checks
from brackenloft.lifecycle import Lifecycle
from brackenloft.net import wire
from brackenloft.net.bites import Bites
from brackenloft.net.departures import Departures
from brackenloft.net.driver import Call, Driver
from brackenloft.net.resp import LONGEST_VALUE, Commands, ProtocolError
from brackenloft.net.streams import STREAM_FROM, Stream

log = logging.getLogger(__name__)

MOST_PIPELINED = 64  # commands of one connection in hand; what comes behind waits in the kernel
MOST_IN_HAND = 256 * 1024  # bytes of one connection's commands and replies in hand, beside CALL; the same
MOST_AT_ONCE = 64  # commands of one connection read before the others have their turn
MOST_ERRORS = 16  # bad commands in a row, after which a connection is closed: no use comes of more
COMMAND_S = 2.0  # for a first command, from connecting on, and for the rest of one that has begun
AGED_S = 0.05  # from which the time that a request has waited in the kernel counts: the loop's turns are less
MOST_AGE_MS = 60_000  # more than any client waits: not to be believed
INFO_SIZE, INFO_OFFSET, INFO_LAST_DATA = 104, 52, struct.Struct("=I")
LINGER_S = 0.3  # a broken connection stays so long, unread, that the error is not reset away
READ_RATE = 16 * 1024  # bytes a second of a command that takes longer than COMMAND_S: a poor link brings more
STALLED_S = 15.0  # a client that takes no byte of its answers for so long is gone; a burst may save as much
WRITE_RATE = 4 * 1024  # bytes a second that a client takes at least of answers that pile up here
# For a command on its way to a connection, twice that by the kernel. Guards against reads of a quarter of a
# megabyte on each of many connections when there is no room for them.
RECEIVES = 32 * 1024
LEAST_RECEIVES = 4 * 1024  # the kernel's own least is half of that
# Bytes that a request in hand takes beside its command: 5.7 kB were seen with an attempt out. Guards against
# requests without number that are counted with no more than their own few bytes.
CALL = 6 * 1024
LATE_S = 0.025  # a sweep so late says that the loop was held up: nobody is too slow for that
FRESH_S = 0.25  # who has said nothing is let be so long, or would come back at once, again and again
SHORT = 0.5  # share of the places taken from which they are given up as soon as may be
IDLE_S = 2.0  # a connection on which no request is open may be closed after that
SERVED_S = 0.1  # about what it is open for before
SWEEP_S = 0.05  # between two looks at who is overdue
# After an answer, before its connection is closed as the process empties: who asks again at once has done so.
# A request that crosses the close would be turned back.
QUIET_S = 0.02
FINISH_S = 1.5  # while the process empties: for who is within a command, and for commands without a gap: none
# may be held after 4 s on which a request came within 2 s
BACKLOG = 1024  # connections that wait in the kernel: all that come while there is no room
ACCEPTS = 32  # connections accepted before the others have their turn
ROOM = 16  # connections closed at once when there is no room for another
ID = re.compile(rb"[0-9A-Za-z]{1,64}")  # of a request, and an idempotency key
WHOLE = re.compile(rb"[0-9]{1,6}")
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
USUAL = re.compile(  # the list of names and values as most write it; the forms of each are the same
    rb"c=([^,=]+),t=([^,=]+),d=([0-9]{1,9}(?:\.[0-9]{1,9})?),(?:k=([0-9A-Za-z]{1,64}),)?"
    rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),spread=([0-9]{1,6}),first=([0-9]{1,6})(?:,r=([01]))?")


def _age_s(sock: socket.socket) -> float:
    """How long what came last has lain in the kernel; 0 where that can't be told.

    From struct tcp_info (Linux, tcp(7)): tcpi_last_data_recv, milliseconds.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_SIZE)
        age_ms: int = INFO_LAST_DATA.unpack_from(info, INFO_OFFSET)[0]
    except (OSError, AttributeError, struct.error):
        return 0.0
    return age_ms / 1000.0 if age_ms <= MOST_AGE_MS else 0.0


class CommandError(ValueError):
    """A command that is answered with an error; the connection lives on."""


def _field(fields: dict[bytes, bytes], name: bytes, form: re.Pattern[bytes]) -> bytes:
    text = fields.get(name, b"")
    if not form.fullmatch(text):
        raise CommandError(f"bad or missing value of {name.decode()}")
    return text


class Requests:
    """Reads CALL.GET and CALL.POST into requests.

    Everything is checked here, before it is charged or sent on. Guards against figures that would do harm
    further on: huge units in a usual customer's name, sets and deadlines out of range, texts that only look
    like numbers ("1_0", "0x1", "nan").
    """

    def __init__(self, settings: api.Settings) -> None:
        self.checks = Checks(settings)
        self.classes = {item.name.encode(): item for item in settings.classes}
        self.plans = {item.name.encode(): item.name for item in settings.plans}

    def read(self, command: list[bytes]) -> tuple[api.Request, wire.Encoder]:
        """The request, and what encodes it for a server that has so many milliseconds."""
        name, posts = command[0].upper(), command[0].upper() == b"CALL.POST"
        if len(command) != (5 if posts else 4):
            raise CommandError(f"wrong number of arguments for {name.decode()}")
        _, customer, request_id, listed = command[:4]
        usual = USUAL.fullmatch(listed)
        c, t, wait, key, units, spread, first, again = usual.groups() if usual else self._fields(listed)
        kind, plan = self.classes.get(c), self.plans.get(t)
        if kind is None or plan is None:
            raise CommandError("unknown class or plan")
        if posts == (kind.effect is api.Effect.SAFE):
            raise CommandError("the class does not go with the command")
        if kind.effect is api.Effect.KEYED and key is None:
            raise CommandError("bad or missing value of k")
        if not ID.fullmatch(request_id):
            raise CommandError("bad request id")
        checks = self.checks
        request = api.Request(
            request_id=request_id.decode("ascii"), class_name=kind.name, plan=plan,
            customer=checks.customer(customer.decode("latin-1")),
            patience_ms=checks.patience(float(wait), kind), units=checks.units(float(units)),
            width=checks.place("spread", int(spread), 1), first_gateway=checks.place("first", int(first), 0),
            is_retry=again == b"1", is_write=posts,
        )
        return request, wire.forwarded(name, command, listed)

    def _fields(self, listed: bytes) -> tuple[Any, ...]:
        """The list in any other order, or with other names in it; checked alike."""
        fields: dict[bytes, bytes] = {}
        for part in listed.split(b","):
            name, equals, value = part.partition(b"=")
            if not equals or not name or name in fields:
                raise CommandError("bad list of names and values")
            fields[name] = value
        if fields.get(b"r", b"1") not in (b"0", b"1"):
            raise CommandError("bad value of r")
        if self.classes.get(fields.get(b"c", b"")) is None or self.plans.get(fields.get(b"t", b"")) is None:
            raise CommandError("unknown class or plan")
        key = fields.get(b"k")
        return (
            fields[b"c"], fields[b"t"], _field(fields, b"d", DECIMAL),
            key if key and ID.fullmatch(key) else None, _field(fields, b"units", DECIMAL),
            _field(fields, b"spread", WHOLE), _field(fields, b"first", WHOLE), fields.get(b"r"))


class Slot:
    """The place of a command's reply in the order of its connection."""

    __slots__ = ("connection", "answer", "request_id", "size", "call", "stream")

    def __init__(
        self, connection: Client, answer: bytes | None = None, request_id: str = "", size: int = 0,
    ) -> None:
        self.connection, self.answer, self.request_id = connection, answer, request_id
        self.size = size  # bytes that it holds: the command, later the answer
        self.call: Call | None = None
        self.stream: Stream | None = None  # what comes behind the answer's header

    def open(self, opened: Opened) -> None:
        """The command's one answer has begun: its header, and the value behind it as it comes."""
        self.stream = opened.stream
        self.answer = wire.value_header(opened.stream.size)
        self.connection.hold(len(self.answer) - self.size)
        self.size = len(self.answer)
        self.stream.sink = self.connection.flush
        self.connection.flush()

    def fill(self, answer: Answer) -> None:
        """The command's one answer."""
        self.answer = wire.answer_line(answer)
        if self.call and not self.call.sends:
            self.connection.turned_away()
        self.connection.hold(len(self.answer) - self.size)
        self.size = len(self.answer)
        self.connection.flush()


class Client(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, clients: Clients, sock: socket.socket) -> None:
        self.clients, self.socket = clients, sock
        self.reader = Commands()
        self.slots: deque[Slot] = deque()
        self.held = self.in_hand = 0  # bytes in all, and of commands and replies in slots
        self.age_s = 0.0  # of what came first, when it was read
        self.asked = self.errors = 0  # requests so far, and bad commands in a row
        self.transport: asyncio.Transport | None = None
        self.spoke = self.ending = self.unread = self.stuck = self.paused = self.reading = self.tired = False
        self.within = False  # a part of a command has come, and may be dropped
        self.timer: asyncio.TimerHandle | None = None  # while it lingers
        self.reads: Pace | None = None  # while it is within a command
        self.writes: Pace | None = None  # while it is stuck
        self.unsent = 0  # bytes of answers that it has not taken, while it is stuck

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        self.clients.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
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
        self.ending, self.reader = True, Commands()
        self._withdraw()
        if self.transport:
            self.transport.close()

    def _withdraw(self) -> None:
        """Nobody waits for the answers any more."""
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.answer is None or slot.stream:
                self.clients.driver.client_gone(slot.request_id)
            if slot.stream:
                slot.stream.abandon()  # it may have ended at the server already

    def hold(self, size: int, in_hand: bool = True) -> None:
        """Count bytes that are held for this connection, or less of them."""
        self.held += size
        self.clients.held += size
        if in_hand:
            self.in_hand += size

    # ---- Commands in

    def data_received(self, data: bytes) -> None:
        if self.ending:
            return
        if not self.spoke and not self.reader.left:
            self.clients.roll.stirs(self)
            self.age_s = _age_s(self.socket)
        if self.reads:
            self.reads.moved(len(data), time.monotonic())
        self.reader.feed(data)
        self.hold(len(data), in_hand=False)
        self._read()

    def _full(self) -> bool:
        """Whether no more commands may be in hand now; who has none may always have one."""
        some, clients = len(self.slots), self.clients
        if self.stuck or self.in_hand > MOST_IN_HAND + CALL * some:
            return True
        if not some:
            return False
        return (some >= MOST_PIPELINED or clients.held >= clients.most_held
                or (clients.parked.count > 0 and some >= clients.depth()))

    def _read(self) -> None:
        """Read commands, but no more than may be in hand at once, and not so many that others wait.

        Guards against a client that pipelines without end. A reply that a command gets at once calls
        ``flush``, which may come back here: ``reading`` says so.
        """
        self.reading, self.within, took, within = True, False, 0, False
        while not self.ending and self.transport and not self._full() and took < MOST_AT_ONCE:
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
        if took == MOST_AT_ONCE and not self.tired:
            self.tired = True
            self.clients.loop.call_soon(self._go_on)
        self.throttle()
        self.clients.sort(self, self.reader.left > 0, took > 0)  # part of one, or some not taken yet
        self._leave_if_done()

    def _go_on(self) -> None:
        self.tired = False
        if self.transport:
            self._read()

    def throttle(self) -> None:
        """Read on, or no further, as there is room."""
        if self.transport is None or self.transport.is_closing():
            return
        pause = (self.ending or self.tired or self._full() or self.clients.finishing()
                 or not self.clients.may_send_on(self))
        if pause != self.paused:
            self.paused = pause
            if self.reads:
                (self.reads.pause if pause else self.reads.resume)(time.monotonic())
            (self.transport.pause_reading if pause else self.transport.resume_reading)()
        if pause and not self.tired:  # that lasts for a turn of the loop alone
            self.clients.departures.watch(self, self.socket)
        else:
            self.clients.departures.forget(self)

    def loose(self) -> int:
        """Bytes that would be free if it were cut off: what it does not take, and a part of a command."""
        if self.transport is None or self.transport.is_closing() or not (self.stuck or self.within):
            return 0
        if self.slots and self.slots[0].stream:
            return 0  # a value passed on in part is never cut off for memory; the streams have a budget
        if self.within and self in self.clients.intake:
            return 0  # nor a long command: those wait their turn
        return max(0, self.held - self.in_hand)

    def cut_off(self) -> None:
        """End it for the memory that it holds: at once, or after an error where it takes what it is sent."""
        self.within = False
        if self.stuck:
            self.hold(-self.unsent, in_hand=False)
            self.unsent = 0
            self.abort()
        elif not self.ending:
            self._break("out of memory")

    def _break(self, why: str) -> None:
        """What can't be read is answered and the connection closed, after the replies before it."""
        log.info("a client is turned away: %s", why)
        self.ending = self.unread = True
        self.hold(-self.reader.left, in_hand=False)
        self.reader = Commands()
        self.clients.sort(self, within=True, took=False)
        self._reply(f"-ERR {why}\r\n".encode("ascii", "replace"))
        self.throttle()

    def _take(self, command: list[bytes], size: int) -> None:
        name = command[0].upper()
        if name in (b"CALL.GET", b"CALL.POST"):
            self._call(command, size)
            return
        self.hold(-size, in_hand=False)
        if name == b"PING":
            self._reply(self.clients.pong())
        else:
            self._refuse("unknown command")

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
        if not self.clients.relieve(LONGEST_VALUE if size > STREAM_FROM else 0):
            self.hold(-size, in_hand=False)
            # Guards against commands in hand that together outgrow the memory.
            self._reply(wire.answer_line(driver.turn_away(request.class_name)))
            return
        self.held += CALL
        self.clients.held += CALL
        self.in_hand += size + CALL
        slot = Slot(self, None, request.request_id, size + CALL)
        self.slots.append(slot)
        slot.call = Call(request.request_id, encode, slot.fill, slot.open)
        if self.asked == 1:
            age_ms = self.age_s * 1000.0 if self.age_s >= AGED_S else 0.0
            patience_ms = max(0.0, request.patience_ms - age_ms)
            request = replace(
                request, scarcity=self.clients.scarcity(), turnover=self.clients.turnover(), age_ms=age_ms,
                patience_ms=patience_ms)
        driver.request(slot.call, request, request.patience_ms)

    def turned_away(self) -> None:
        """Nothing was sent on for a request. If it was the first one, and places are short, it ends here.

        Guards against connections that hold a place for seconds for nothing.
        """
        if self.asked == 1 and self.clients.short():
            self.ending = True

    def _refuse(self, why: str) -> None:
        """A bad command: an error, and after many in a row the end."""
        self.errors += 1
        self.ending = self.ending or self.errors >= MOST_ERRORS
        self.unread = self.ending
        self._reply(f"-ERR {why}\r\n".encode("ascii", "replace"))

    def overdue(self) -> None:
        """A command that was owed has not come, or an end has taken too long.

        Guards against clients that say nothing, or stop within a command: they hold a place and memory.
        What they sent before is not waited for: it has failed.
        """
        if self.transport is None:
            return
        if self.ending and not self.slots:
            self.transport.abort()  # it does not take its error
            return
        if not self.ending:
            self._break("timeout")
        for slot in list(self.slots):
            if slot.answer is None:
                self.clients.driver.client_gone(slot.request_id, failed=True)
                slot.fill(FAILED)

    # ---- Replies out

    def _reply(self, answer: bytes) -> None:
        self.slots.append(Slot(self, answer, size=len(answer)))
        self.hold(len(answer))
        self.flush()

    def flush(self) -> None:
        """Write the replies that are due, in the order of their commands."""
        if self.transport is None:
            return
        while self.slots and not self.stuck:
            slot = self.slots[0]
            if slot.answer is None or (slot.stream and not self._pass_on(slot, slot.stream)):
                break
            self.hold(-self.slots.popleft().size)
            if slot.answer:
                self.transport.write(slot.answer)
        if self.stuck:
            self._count_unsent()
        if self.reading:
            return
        if self.paused and not self.ending:
            self._read()
        elif not self.slots and self not in self.clients.roll:
            self.clients.rests(self)
        self._leave_if_done()

    def _pass_on(self, slot: Slot, stream: Stream) -> bool:
        """Write what has come of a long value whose turn it is; whether that was the last of it."""
        assert self.transport
        if stream.failed:
            # The client can tell that it is not whole: the connection ends behind what was passed on.
            stream.abandon()
            slot.answer, slot.stream, self.ending, self.unread = b"", None, True, False
            self.transport.close()
            return False
        if slot.answer:
            self.transport.write(slot.answer)
            self.hold(-slot.size)
            slot.answer, slot.size = b"", 0
        while stream.pieces and not self.stuck:
            self.transport.write(stream.take())
        if stream.pieces or not stream.ended:
            return False
        stream.streams.open.discard(stream)
        self.transport.write(b"\r\n")
        return True

    def _leave_if_done(self) -> None:
        """Close between requests, when it is time to.

        Commands that were read but not taken yet, as too many were in hand, are taken first: closing
        then would lose them. A connection that still brings what is not read lingers: guards against a
        reset, which a close would send then and which may overtake the error.
        """
        if not self.transport or self.slots or self.tired or self.transport.is_closing():
            return
        if self.ending and self.unread:
            if self.timer is None:
                self.timer = self.clients.loop.call_later(LINGER_S, self.abort)
        elif self.ending or (self.clients.emptying and self._may_go()):
            self.transport.close()

    def _may_go(self) -> bool:
        """Whether it may be closed between requests as the process empties.

        Guards against turning back a command that crosses the close: who is within one, or has just come, is
        waited for, but not without end; what has come unread is read first.
        """
        if self.clients.finishing():
            return True
        rested_s = self.clients.loop.time() - self.clients.roll.since(self)
        quiet = rested_s >= (QUIET_S if self.spoke else FRESH_S)
        return quiet and not self.reader.left and not self._unread()

    def _unread(self) -> bool:
        with suppress(OSError):
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        return False

    def pause_writing(self) -> None:
        """The client does not take its answers: it is read no further, and given up after a while.

        Guards against a slow reader whose answers pile up here.
        """
        self.stuck = True
        self.writes = Pace(Least(WRITE_RATE, STALLED_S, STALLED_S), time.monotonic())
        self.clients.stuck[self] = None
        self.clients.look_after()
        self._count_unsent()
        self.throttle()

    def _count_unsent(self) -> int:
        """Count what it has not taken yet as held; how much less that is than before."""
        size = self.transport.get_write_buffer_size() if self.stuck and self.transport else 0
        gone, self.unsent = self.unsent - size, size
        self.hold(-gone, in_hand=False)
        return gone

    def takes_too_little(self, now: float, late: float) -> bool:
        """Whether answers pile up here that it takes too slowly."""
        assert self.writes
        self.writes.excuse(late)
        self.writes.moved(max(0, self._count_unsent()), now)
        return self.writes.too_slow(now)

    def resume_writing(self) -> None:
        self.stuck, self.writes = False, None
        self.clients.stuck.pop(self, None)
        self._count_unsent()
        self.flush()

    def abort(self) -> None:
        """End the connection, whatever is still to be written on it."""
        if self.transport:
            self.transport.abort()

    def drop(self) -> bool:
        """Close it to make room, unless a command has come that was not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        if not self.ending and self._unread():
            return False
        self.ending = True
        self.transport.abort()
        return True


class Clients:
    """The listener and the connections it accepted, bounded in number and in what they hold."""

    def __init__(
        self, driver: Driver, settings: api.Settings, budget: Budget, most_held: int, usual: int,
        lifecycle: Lifecycle,
    ) -> None:
        self.driver, self.requests, self.lifecycle = driver, Requests(settings), lifecycle
        self.budget, self.most_held = budget, most_held
        self.parked = driver.gateway.parked
        # What the kernel doubles fits the memory on all places: a first read takes all of it.
        fits = most_held // (2 * max(1, budget.limit(Side.CLIENTS)))
        self.receives = max(LEAST_RECEIVES, min(RECEIVES, fits))
        self.bites = Bites()
        self.departures: Departures[Client] = Departures(asyncio.get_running_loop(), Client.departed)
        self.slow: dict[Client, None] = {}  # within a command for long, but not too slow so far
        self.stuck: dict[Client, None] = {}  # whose answers pile up here
        self.intake: Intake[Client] = Intake()  # who is within a long command
        self.swept = time.monotonic()
        self.held = 0  # bytes of commands and replies
        self.connections: OrderedDict[Client, None] = OrderedDict()
        self.owing: OrderedDict[Client, float] = OrderedDict()  # a command or an end, since when
        self.roll: Roll[Client] = Roll()  # who does nothing now, and may be closed for it
        self.asking = 0  # connections that have asked for something
        self.usual = usual  # connections that clients open for requests by themselves; 0 for any number
        self.loop = asyncio.get_running_loop()
        self.emptying = self.leaving = self.accepting = self.shared = False
        self.emptying_since = 0.0
        self.listener: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.sweeper: asyncio.TimerHandle | None = None  # while there is something to look at

    # ---- Coming and going

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Listen on this address only; the address."""
        return self._listen_on(socket.create_server((host, port), backlog=BACKLOG))

    def inherit(self, descriptor: int) -> tuple[str, int]:
        """Accept from a socket that listens already, beside other processes; the address.

        OSError: it is no listening socket.
        """
        listener = socket.socket(fileno=descriptor)
        if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError("it does not listen")
        self.shared = True
        return self._listen_on(listener)

    def _listen_on(self, listener: socket.socket) -> tuple[str, int]:
        self.listener = listener
        self.listener.setblocking(False)
        self._accept_more()
        address: tuple[str, int] = self.listener.getsockname()
        return address

    def pong(self) -> bytes:
        """The front takes in a gateway that says PONG: not before it knows whom to send to."""
        if self.lifecycle.facts.pong:
            return b"+PONG\r\n"
        return b"-LOADING %b\r\n" % self.lifecycle.state.encode()

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
        if not self.budget.free(Side.CLIENTS):
            self._accept_no_more()
            self._make_room()
            self.look_after()
        for _ in range(min(ACCEPTS, self.budget.free(Side.CLIENTS))):
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                if self.leaving:
                    self._close_listener()
                return
            except OSError as error:
                log.warning("no connection accepted: %r", error)
                self._accept_no_more()  # until the next sweep
                self.look_after()
                return
            self.budget.take(Side.CLIENTS)
            task = self.loop.create_task(self._admit(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _admit(self, sock: socket.socket) -> None:
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receives)
            await self.loop.connect_accepted_socket(lambda: Client(self, sock), sock)
        except OSError:
            sock.close()
            self._place_free()

    def _make_room(self) -> None:
        """Close who is leaving, who has said nothing yet, and who is idle, the longest first.

        Guards against clients that keep a connection for good and so make the usual ones open theirs anew.
        Never one within a command or with a request in hand.
        """
        now, room = self.loop.time(), ROOM
        for client in list(islice(self.owing, 4 * ROOM)):
            if client.ending:
                room -= client.drop()
        for client in list(self.roll.closable(now, FRESH_S, IDLE_S, max(0, room))):
            if client.drop():
                self.roll.stirs(client)
            else:
                self.roll.later(client)  # it has a command to be read

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

    def _place_free(self) -> None:
        self.budget.give(Side.CLIENTS)
        self._accept_more()

    def opened(self, client: Client) -> None:
        """A new connection; its first command is due."""
        self.connections[client] = None
        self.owing[client] = self.loop.time()
        self.look_after()
        self.roll.rests(client, Standing.FRESH, self.loop.time())

    def closed(self, client: Client) -> None:
        """A connection has ended, and its descriptor is free."""
        self.connections.pop(client, None)
        self.departures.forget(client)
        self.owing.pop(client, None)
        self.slow.pop(client, None)
        self.stuck.pop(client, None)
        self.next_long(client)
        self.roll.stirs(client)
        self.held -= client.held
        self.asking -= client.asked > 0
        self._place_free()

    def sort(self, client: Client, within: bool, took: bool) -> None:
        """Note what a connection is at: within a command, at its end, idle, or with requests in hand."""
        if took or not within:
            client.reads = None
            self.slow.pop(client, None)
        if within and client.reads is None and not client.ending:
            client.reads = Pace(Least(READ_RATE, COMMAND_S, COMMAND_S), time.monotonic())
            if client.paused:
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
        return bool(self.owing or self.slow or self.stuck or self.intake.rows or self.emptying
                    or (self.listener and not self.accepting and self.lifecycle.facts.accepts)
                    or self.held > self.most_held or self.short())

    def _sweep(self) -> None:
        self.sweeper = None
        before = self.loop.time() - COMMAND_S
        while self.owing:
            client, since = next(iter(self.owing.items()))
            if since > before:
                break
            del self.owing[client]
            if client.reads and not client.ending:
                self.slow[client] = None
            else:
                client.overdue()
        self._cut_the_slow()
        if self.intake.rows:
            self._let_in()
        if self.budget.free(Side.CLIENTS):
            self._accept_more()
        if self.short():
            self._make_room()  # somebody waits, or will before long, here or at the clients
        if self.emptying:
            self._empty()
        if self._busy():
            self.look_after()

    def _cut_the_slow(self) -> None:
        """End who reads or writes below the least rate, and who has most here if it is too much for all."""
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
        for client in list(self.stuck):
            if client.takes_too_little(now, late):
                self.bites.bite("least rate of answers", "a client that takes too little is cut off")
                client.abort()
        self.relieve()

    def has_room(self) -> bool:
        """Whether what is held leaves room for more."""
        return self.held < self.most_held

    def may_send_on(self, client: Client) -> bool:
        """Whether it is read further, as far as memory goes. Who is not is looked at again at each sweep."""
        room = self.has_room()
        if room or client not in self.intake:
            return True
        within = sum(one.held for one in self.intake.rows)
        return self.intake.may_read(client, room, self.held - within < self.most_held)

    def next_long(self, client: Client) -> None:
        """A long command is whole, or its connection ended: others may go on."""
        if self.intake.done(client):
            self.loop.call_soon(self._let_in)

    def _let_in(self) -> None:
        """Let those within a long command send on, as far as there is room, or stop them."""
        for client in list(self.intake.rows):
            client.throttle()

    def relieve(self, reserve: int = 0) -> bool:
        """Cut off who holds most, if all hold too much; whether there is room now, with a ``reserve``.

        Guards against those who hold little and are turned away for what others keep. What is in hand stays:
        it is owed.
        """
        if self.held <= self.most_held:
            return True
        holders = {client: size for client in self.connections if (size := client.loose())}
        for client in relief(self.held, self.most_held, holders):
            self.bites.bite("memory", "the client that holds most is cut off")
            client.cut_off()
        return self.held <= self.most_held + reserve

    # ---- The end

    def stop_listening(self) -> None:
        """Close each connection once nothing is owed on it, accept who waits in the kernel, then nobody.

        Guards against losing a crowd's requests: the kernel has taken what waits for a place, and resets it
        when the listener closes. The places come free here, as who rests is closed.
        """
        self.leaving = True
        self.empty()
        if self.shared:
            self._close_listener()  # others hold it: nobody is reset
        elif self.listener:
            self._accept_more()
            self._accept()

    def empty(self) -> None:
        """From now on, close each connection once nothing is owed on it."""
        if not self.emptying:
            self.emptying, self.emptying_since = True, self.loop.time()
        self.look_after()
        self._empty()

    def _empty(self) -> None:
        for client in list(self.connections):
            client.flush()

    def finishing(self) -> bool:
        """Whether it is time that even those who never pause come to an end: no more is read."""
        return self.emptying and self.loop.time() - self.emptying_since >= FINISH_S

    def keep(self) -> None:
        """Empty no more."""
        self.emptying = False
        for client in list(self.connections):
            client.flush()  # and read on, where that had stopped

    def accept_or_not(self) -> None:
        """As the lifecycle has it."""
        (self._accept_more if self.lifecycle.facts.accepts else self._accept_no_more)()

    def _close_listener(self) -> None:
        if self.listener:
            self._accept_no_more()
            self.listener.close()
            self.listener = None

    def abort(self) -> None:
        """Close what is left, at the very end."""
        if self.sweeper:
            self.sweeper.cancel()
        self._close_listener()
        self.departures.close()
        for client in list(self.connections):
            client.abort()
