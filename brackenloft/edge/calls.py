"""Calls of a host to its edge: the call, its pending answer, an admission, and the limits of the edge."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import asdict, dataclass
from types import TracebackType
from typing import Protocol

from brackenloft import interface as api
from brackenloft.answers import Answer, Granted
from brackenloft.checks import FieldError
from brackenloft.net.attempt import Reply
from brackenloft.net.limits import SOCKET_BUFFER

MEGABYTE = 1 << 20


class EdgeClosed(RuntimeError):  # noqa: N818
    """The edge is not open (yet, or any more); nothing was done."""


MAY_BE_ZERO = ("lent", "spare_descriptors")


@dataclass(frozen=True, slots=True)
class Room:
    """What an edge may take of the host's process.

    ``server_connections`` and ``client_connections`` are descriptors kept for the two sides, ``lent`` more
    that either may use while the other does not. ``held`` bytes are kept at most for each of the two sides
    (what clients have sent, what servers have answered), and ``socket_buffer`` bytes are asked of the kernel
    for each direction of a connection; ``in_hand`` requests of the host itself are open at once, beyond which
    they are refused. ``memory`` bytes are held at most for all peers together, connections and the kernel's
    buffers included; None for no such bound. ``asking``: connections for requests that clients open at most
    by themselves, None for as many as are taken. ``spare_descriptors``: beside those of the two sides, for
    connections that wait for memory.
    """

    server_connections: int = 256
    client_connections: int = 768
    held: int = 32 * MEGABYTE
    in_hand: int = 10_000
    asking: int | None = None
    lent: int = 0
    socket_buffer: int = SOCKET_BUFFER
    memory: int | None = None
    spare_descriptors: int = 0

    def __post_init__(self) -> None:
        for name, value in asdict(self).items():
            if value is not None and not (value > 0 or name in MAY_BE_ZERO and value == 0):
                raise FieldError(name, f"not above 0: {value!r}")


@dataclass(frozen=True, slots=True)
class Call:
    """What a host asks for. Names of class and plan are those of the settings.

    ``paid``: its units were charged with another call's, of which it is a part.
    ``patience_ms``: how long the caller waits, None for the class's deadline. ``width`` gateways in a row
    from ``first_gateway`` share the customer. ``key``: for a keyed class, and only there. ``request_id``:
    unique among all gateways, None for a new one.
    """

    class_name: str
    plan: str
    customer: str
    body: bytes = b""
    key: str | None = None
    units: float = 1.0
    patience_ms: float | None = None
    width: int = 1
    first_gateway: int = 0
    is_retry: bool = False
    request_id: str | None = None
    paid: bool = False


@dataclass(frozen=True, slots=True)
class CallRoute:
    """Another protocol than RESP2 for a call: the door's name, how the command is written (from its request
    id and the time left), and what tells the cost of a good answer.
    """

    door: str
    encode: Callable[[str, float], bytes]
    weigh: Callable[[Reply], None] | None = None


class Outcomes(Protocol):
    """Where the end of a request is reported that its caller withdraws, or that the host serves itself."""

    def client_gone(self, request_id: str, failed: bool = False) -> None:
        """The caller does not wait any more."""

    def release(self, request_id: str, status: api.Status, units: float | None = None) -> None:
        """The host's own work on an admitted request has ended."""


class CallOwner(Protocol):
    """What calls need of the edge that they were made on."""

    loop: asyncio.AbstractEventLoop
    granted_now: int

    @property
    def driver(self) -> Outcomes:
        """Where the end of a request is reported."""

    def begin(self, call: Call, local: bool = False) -> Pending:
        """Start a request; ``local``: the host serves it itself once it is admitted."""

    def done(self, pending: Pending) -> None:
        """The answer of a request has been taken."""


class Pending:
    """A request whose one answer is owed. ``value`` is None until it is there."""

    __slots__ = ("edge", "request_id", "value", "_waiter")

    def __init__(self, edge: CallOwner, request_id: str) -> None:
        self.edge, self.request_id = edge, request_id
        self.value: Answer | None = None
        self._waiter: asyncio.Future[None] | None = None

    def tell(self, answer: Answer) -> None:
        """The driver has the answer."""
        self.value = answer
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait(self) -> Answer:
        """The answer. Cancelled, the request is withdrawn."""
        if self.value is None:
            self._waiter = self.edge.loop.create_future()
            try:
                await self._waiter
            except asyncio.CancelledError:
                self.withdraw()
                raise
        assert self.value is not None
        self.edge.done(self)
        return self.value

    def withdraw(self) -> None:
        """Nobody waits any more. A grant that crossed this is given back, other answers had their end."""
        self.edge.done(self)
        self.edge.driver.client_gone(self.request_id)
        self.edge.driver.release(self.request_id, api.Status.CANCELLED)


class Admission:
    """Leave to do the work oneself, or not; ``granted`` says which and ``answer`` why not.

    ``release`` gives the place back, once; ``Edge.admit`` does it when its block ends.
    """

    __slots__ = ("edge", "answer", "request_id", "units", "failed", "open")

    def __init__(self, edge: CallOwner, answer: Answer, request_id: str) -> None:
        self.edge, self.answer, self.request_id = edge, answer, request_id
        self.units: float | None = None  # what the work has taken, where the request's units were a guess
        self.failed = False  # set it where the work failed without an exception
        self.open = isinstance(answer, Granted)
        edge.granted_now += self.open

    @property
    def granted(self) -> bool:
        """Whether the host may go on."""
        return isinstance(self.answer, Granted)

    def settle(self, units: float) -> None:
        """The units that the work has really taken."""
        if not 0.0 <= units < float("inf"):
            raise FieldError("units", f"not a number of at least 0: {units!r}")
        self.units = units

    def release(self) -> None:
        """The work has ended."""
        if self.open:
            self.open = False
            self.edge.granted_now -= 1
            status = api.Status.ERROR if self.failed else api.Status.OK
            self.edge.driver.release(self.request_id, status, self.units)


class Admitting:
    """The context of ``Edge.admit``."""

    __slots__ = ("edge", "call", "admission")

    def __init__(self, edge: CallOwner, call: Call) -> None:
        self.edge, self.call = edge, call

    async def __aenter__(self) -> Admission:
        pending = self.edge.begin(self.call, local=True)
        self.admission = Admission(self.edge, await pending.wait(), pending.request_id)
        return self.admission

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.admission.failed = self.admission.failed or error is not None
        self.admission.release()
