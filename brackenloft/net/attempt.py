"""One attempt of a request at a server, and the reply or failure that it ends with."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any, Protocol

from brackenloft import interface as api
from brackenloft.net.streams import Stream
from brackenloft.net.wire import Buffers, Encoder
from brackenloft.obligations import SendFacts, Withheld, told_ms, why_withheld


@dataclass(slots=True)
class Reply:
    """What an attempt came to."""

    status: api.Status
    value: bytes | None = None
    used: float | None = None
    cost: float | None = None
    load: tuple[float, ...] | None = None
    parsed: Any = None  # the value as its protocol has read it, where it has


class Carrier(Protocol):
    """The connection that an attempt is on."""

    handed: bool

    def close(self, status: api.Status) -> None:
        """Close the connection; the attempt on it ends with this status."""

    def discard_unacknowledged(self) -> None:
        """Close the connection with a reset if the server has not acknowledged the whole command."""


class Attempt:
    """A command on its way to a server; ``done`` is called once with what came of it."""

    __slots__ = (
        "encode",
        "done",
        "connection",
        "due",
        "write_by",
        "written",
        "began",
        "waits",
        "opened",
        "streams",
        "request_id",
        "number",
        "server",
        "ask",
        "withheld",
    )

    def __init__(
        self,
        encode: Encoder,
        done: Callable[[Reply], None],
        due: float = inf,
        opened: Callable[[Attempt, Stream], bool] | None = None,
    ) -> None:
        self.encode: Encoder | None = encode  # from the milliseconds that are left
        self.opened = opened  # takes a long value as a stream, unless nobody wants it any more
        self.streams = False  # it has been taken
        self.request_id, self.number, self.server = "", 0, 0  # whose it is, for ``opened``
        # All by time.monotonic(): not written from ``due`` on, when it was written, when it was asked for.
        self.due, self.written, self.began = due, inf, time.monotonic()
        self.write_by = inf  # not whole with the kernel by then, it is not sent; by the same clock
        self.done: Callable[[Reply], None] | None = done
        self.connection: Carrier | None = None
        self.waits = False  # for a connection of its host
        self.ask: Callable[[float], Withheld | None] | None = None  # of who has the request in hand
        self.withheld = api.Status.NOT_SENT  # how it ends if it may not be written

    def payload(self, now: float) -> Buffers:
        """The command as it is written at this time, by time.monotonic(): it tells what is left then.

        Guards against a deadline that was reckoned before a wait for a connection.
        """
        assert self.encode
        return self.encode(told_ms(self.left_ms(now)))

    def left_ms(self, now: float) -> float:
        """What is left of its time; ``now`` by time.monotonic()."""
        return (self.due - now) * 1000.0

    def window_ms(self, now: float) -> float:
        """What is left until it has to be whole with its server; ``now`` by time.monotonic()."""
        return (self.write_by - now) * 1000.0

    def may_write(self, now: float) -> bool:
        """Whether it is to be written now: the one question before each write. One that may not has ended.

        ``now`` by time.monotonic().
        """
        if self.done is None:
            return False
        if self.ask:
            why = self.ask(now)
        else:
            why = why_withheld(SendFacts(left_ms=self.left_ms(now), window_ms=self.window_ms(now)))
        if why:
            elsewhere = why is Withheld.SENT_ELSEWHERE
            self.withheld = api.Status.CANCELLED if elsewhere else api.Status.NOT_SENT
        return why is None and self.done is not None

    def finish(self, reply: Reply) -> None:
        """Tell the outcome, the first only.

        The command is let go. Guards against bodies that are kept until the attempt's time is up, as the
        timer that would end it knows the attempt.
        """
        self.ask = None
        done, self.done, self.connection, self.encode = self.done, None, None, None
        if done:
            done(reply)
