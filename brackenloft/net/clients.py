"""The listener for clients: commands in, replies out in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import cast

import hiredis

from brackenloft import interface as api
from brackenloft.net.driver import CLIENT_MARGIN_MS, Call, Driver

log = logging.getLogger(__name__)

MOST_PIPELINED = 64  # commands of one connection in hand; what comes behind waits in the kernel
LONGEST_COMMAND = 512 * 1024  # bytes read without a whole command: a body, and one read of the loop
STALLED_S = 15.0  # a client that takes no byte of its answers for so long is gone
LAST_CUSTOMER = 1 << 33
IDS = 64  # bytes of a request's id at most


class CommandError(ValueError):
    """A command that is answered with an error; the connection lives on."""


def _number(fields: dict[bytes, bytes], name: bytes, default: str, low: float, high: float) -> float:
    text = fields.get(name)
    try:
        value = float(text if text is not None else default)
    except ValueError:
        raise CommandError(f"bad value of {name.decode()}") from None
    if not low <= value <= high:
        raise CommandError(f"bad value of {name.decode()}")
    return value


class Commands:
    """Reads CALL.GET and CALL.POST into requests."""

    def __init__(self, settings: api.Settings) -> None:
        self.gateways = settings.gateways
        self.classes = {item.name.encode(): item for item in settings.classes}
        self.plans = {item.name.encode(): item.name for item in settings.plans}

    def read(self, command: list[bytes]) -> tuple[api.Request, Callable[[float], bytes]]:
        """The request, and what encodes it for a server that has so many milliseconds."""
        name, posts = command[0].upper(), command[0].upper() == b"CALL.POST"
        if len(command) != (5 if posts else 4):
            raise CommandError(f"wrong number of arguments for {name.decode()}")
        _, customer, request_id, listed = command[:4]
        fields = self._fields(listed)
        kind, plan = self.classes.get(fields.get(b"c", b"")), self.plans.get(fields.get(b"t", b""))
        if kind is None or plan is None:
            raise CommandError("unknown class or plan")
        if posts == (kind.effect is api.Effect.SAFE):
            raise CommandError("the class does not go with the command")
        if kind.effect is api.Effect.KEYED and not fields.get(b"k"):
            raise CommandError("a keyed class without a key")
        _number(fields, b"d", "", 0.001, 1e9)
        request = api.Request(
            request_id=self._id(request_id), class_name=kind.name, plan=plan,
            customer=self._customer(customer),
            patience_ms=max(0.0, float(fields[b"d"]) - CLIENT_MARGIN_MS),
            units=_number(fields, b"units", "1", 1e-6, 1e6),
            width=int(_number(fields, b"spread", str(self.gateways), 1, 1e6)),
            first_gateway=int(_number(fields, b"first", "0", 0, 1e6)),
            is_retry=fields.get(b"r") == b"1", is_write=posts,
        )
        return request, _encoder(name, command, listed)

    def _fields(self, listed: bytes) -> dict[bytes, bytes]:
        fields = {}
        for part in listed.split(b","):
            name, equals, value = part.partition(b"=")
            if not equals or not name or name in fields:
                raise CommandError("bad list of names and values")
            fields[name] = value
        return fields

    def _id(self, text: bytes) -> str:
        if not 0 < len(text) <= IDS or not text.isalnum():
            raise CommandError("bad request id")
        return text.decode("ascii")

    def _customer(self, text: bytes) -> str:
        if len(text) != 16:
            raise CommandError("bad customer")
        try:
            number = int(text, 16)
        except ValueError:
            raise CommandError("bad customer") from None
        if not 0 <= number < LAST_CUSTOMER:
            raise CommandError("bad customer")
        return text.decode("ascii")


def _encoder(name: bytes, command: list[bytes], listed: bytes) -> Callable[[float], bytes]:
    """Everything goes on unchanged but ``d``, which tells how long the gateway waits."""
    parts = listed.split(b",")
    place = next(number for number, part in enumerate(parts) if part.startswith(b"d="))

    def encode(wait_ms: float) -> bytes:
        parts[place] = b"d=%d" % max(1, int(wait_ms))
        words = [name, command[1], command[2], b",".join(parts), *command[4:]]
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)

    return encode


class Slot:
    """The place of a command's reply in the order of its connection."""

    __slots__ = ("connection", "answer", "request_id")

    def __init__(self, connection: Client, answer: bytes | None = None, request_id: str = "") -> None:
        self.connection, self.answer, self.request_id = connection, answer, request_id

    def fill(self, answer: bytes) -> None:
        """The command's one answer."""
        self.answer = answer
        self.connection.flush()


class Client(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.reader = hiredis.Reader(replyError=CommandError)
        self.slots: deque[Slot] = deque()
        self.unparsed = 0
        self.transport: asyncio.Transport | None = None
        self.ending = self.stuck = self.paused = self.reading = False
        self.stall: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        self.clients.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.stall:
            self.stall.cancel()
        self.clients.closed(self)
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.answer is None:
                self.clients.driver.client_gone(slot.request_id)

    # ---- Commands in

    def data_received(self, data: bytes) -> None:
        if self.ending:
            return
        self.clients.connections.move_to_end(self)  # the last to be pushed out
        self.reader.feed(data)
        self.unparsed += len(data)
        self._read()

    def _read(self) -> None:
        """Read commands, but no more than may be in hand at once.

        Guards against a client that pipelines without end, or sends one command without end. A reply
        that a command gets at once calls ``flush``, which may come back here: ``reading`` says so.
        """
        self.reading = True
        while not self.ending and self.transport and len(self.slots) < MOST_PIPELINED and not self.stuck:
            try:
                command = self.reader.gets()
            except (hiredis.HiredisError, ValueError, MemoryError):  # an array of billions is the last
                self._broken()
                break
            if command is False:
                if self.unparsed > LONGEST_COMMAND:
                    self._broken()
                break
            self.unparsed = 0
            self._take(command)
        self.reading = False
        self._throttle()
        self._leave_if_done()

    def _throttle(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        pause = self.stuck or self.ending or len(self.slots) >= MOST_PIPELINED
        if pause != self.paused:
            self.paused = pause
            (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def _broken(self) -> None:
        """What is not RESP is answered and the connection closed, after the replies before it."""
        self.ending = True
        self._reply(b"-ERR Protocol error\r\n")

    def _take(self, command: object) -> None:
        if not isinstance(command, list) or not command or not all(isinstance(w, bytes) for w in command):
            self._broken()
            return
        name = command[0].upper()
        if name in (b"CALL.GET", b"CALL.POST"):
            self._call(command)
        elif name == b"PING":
            self._reply(self.clients.pong())
        else:
            self._reply(b"-ERR unknown command\r\n")

    def _call(self, command: list[bytes]) -> None:
        driver = self.clients.driver
        try:
            request, encode = self.clients.commands.read(command)
            if request.request_id in driver.calls:
                raise CommandError("a request of this id is in hand")
        except ValueError as error:
            self._reply(f"-ERR {error}\r\n".encode("ascii", "replace"))
            return
        slot = Slot(self, None, request.request_id)
        self.slots.append(slot)
        driver.request(Call(request.request_id, encode, slot.fill), request, request.patience_ms)

    # ---- Replies out

    def _reply(self, answer: bytes) -> None:
        self.slots.append(Slot(self, answer))
        self.flush()

    def flush(self) -> None:
        """Write the replies that are due, in the order of their commands."""
        if self.transport is None:
            return
        while self.slots and not self.stuck:
            answer = self.slots[0].answer
            if answer is None:
                break
            self.slots.popleft()
            self.transport.write(answer)
        if self.reading:
            return
        if self.paused:
            self._read()
        self._leave_if_done()

    def _leave_if_done(self) -> None:
        """Close between requests, when it is time to.

        Commands that were read but not taken yet, as too many were in hand, are taken first: closing
        then would lose them.
        """
        if self.transport and not self.slots and (self.ending or self.clients.leaving):
            self.transport.close()

    def pause_writing(self) -> None:
        """The client does not take its answers: it is read no further, and given up after a while.

        Guards against a slow reader whose answers pile up here.
        """
        self.stuck = True
        self._throttle()
        self.stall = self.clients.loop.call_later(STALLED_S, self._stalled)

    def resume_writing(self) -> None:
        self.stuck = False
        if self.stall:
            self.stall.cancel()
        self.flush()

    def _stalled(self) -> None:
        if self.transport:
            self.transport.abort()


class Clients:
    """The listener and the connections it accepted."""

    def __init__(self, driver: Driver, settings: api.Settings, most_connections: int) -> None:
        self.driver, self.commands = driver, Commands(settings)
        self.most_connections = most_connections
        self.connections: OrderedDict[Client, None] = OrderedDict()
        self.loop = asyncio.get_running_loop()
        self.ready = self.leaving = False
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen on this address only."""
        self.server = await self.loop.create_server(lambda: Client(self), host, port, backlog=1024)

    def pong(self) -> bytes:
        """The front takes in a gateway that says PONG: not before it knows whom to send to."""
        return b"+PONG\r\n" if self.ready else b"-LOADING the list of servers is not known yet\r\n"

    def opened(self, client: Client) -> None:
        """Count a new connection; beyond the limit an idle one goes, or else the new one.

        Guards against running out of descriptors, which would hit connections to servers too.
        """
        self.connections[client] = None
        if len(self.connections) <= self.most_connections:
            return
        idle = next((one for one in self.connections if one is not client and not one.slots), client)
        assert idle.transport
        self.closed(idle)  # at once: the next one must not count on the same place again
        idle.ending = True
        if idle is client:
            idle.transport.write(b"-ERR max number of clients reached\r\n")
        idle.transport.close()

    def closed(self, client: Client) -> None:
        """A connection has ended."""
        self.connections.pop(client, None)

    def stop_listening(self) -> None:
        """Accept no more, and close each connection once nothing is owed on it."""
        if self.server:
            self.server.close()
        self.leaving = True
        for client in list(self.connections):
            client.flush()

    def abort(self) -> None:
        """Close what is left, at the very end."""
        for client in list(self.connections):
            if client.transport:
                client.transport.abort()
