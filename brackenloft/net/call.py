"""A client's request in hand, and who is told of what becomes of it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from math import inf
from typing import Protocol

from brackenloft import interface as api
from brackenloft.answers import Answer, Opened, Tally
from brackenloft.net.attempt import Attempt, Reply
from brackenloft.net.streams import Stream
from brackenloft.net.timers import Handle
from brackenloft.net.wire import Buffers, Encoder

log = logging.getLogger(__name__)

UNSURE_S = 0.08  # after which a client is looked for: an attempt may begin 0.1 s after it has left


class CallListener(Protocol):
    """Who is told of attempts, as another process counts them too."""

    def sent(self, call: Call) -> None:
        """An attempt goes out."""

    def ended(self, call: Call) -> None:
        """It has ended."""

    def catch_up(self) -> None:
        """Learn what the other process has sent on so far."""


class Usage(Protocol):
    """Who is told of what customers use, where gateways count together."""

    def sent(self, call: Call) -> None:
        """A request goes on for the first time, to a server or to the host itself."""

    def refused(self, call: Call) -> None:
        """A request was turned away for its customer's quota."""

    def settled(self, request_id: str, units: float) -> None:
        """The units that it has really taken."""


class Call:
    """A client's request in hand, until it has been answered and no attempt is out."""

    __slots__ = (
        "request_id",
        "encode",
        "on_answer",
        "deadline",
        "sends",
        "out",
        "answered",
        "timers",
        "tally",
        "request",
        "on_open",
        "stream",
        "first_ms",
        "door",
        "weigh",
        "left",
        "unsure",
        "came_at",
        "may_have_run",
    )

    def __init__(
        self,
        request_id: str,
        encode: Encoder,
        on_answer: Callable[[Answer], None],
        on_open: Callable[[Opened], None] | None = None,
    ) -> None:
        self.on_open = on_open  # where a long value is taken as a stream, whose end is the answer
        self.stream: Stream | None = None
        self.first_ms = 0.0  # latency of its first bytes
        self.door = ""  # through which its servers are spoken to, where it is not RESP2
        self.weigh: Callable[[Reply], None] | None = None  # tells what a good answer has cost
        self.left: Callable[[], bool] | None = None  # whether its client has gone, though nobody was told yet
        self.unsure: Callable[[], bool] | None = None  # whether it may have gone, and nobody can tell
        self.came_at = inf  # by time.monotonic()
        self.request_id = request_id
        self.encode: Encoder | None = encode  # holds the body; None once nothing is sent
        self.on_answer: Callable[[Answer], None] | None = on_answer  # None once it has ended
        self.deadline, self.sends, self.answered = 0.0, 0, False
        self.may_have_run = False  # an attempt has ended, and is not known never to have run
        self.out: dict[int, Attempt | None] = {}  # None: at the host itself
        self.timers: list[Handle] = []
        self.tally: Tally  # of its class, from when it is taken
        self.request: api.Request

    def may_be_unwanted(self, now: float) -> bool:
        """Whether its client may have left since it came, and the kernel can't tell; by time.monotonic()."""
        return self.unsure is not None and now - self.came_at >= UNSURE_S and self.unsure()

    def command(self, left_ms: float) -> Buffers:
        """The command as it is written to a server that has so many milliseconds."""
        assert self.encode, "nothing is written once it was dropped"
        return self.encode(left_ms)

    def answer(self, answer: Answer) -> None:
        """Count the one answer, and tell it unless nobody waits for it."""
        self.answered = True
        self.tally.count(answer)
        if self.on_answer:
            self.on_answer(answer)

    def read_cost(self, reply: Reply) -> None:
        """Have the cost of a good answer told by its value, where there is something that can."""
        try:
            if self.weigh and reply.value is not None:
                self.weigh(reply)
        except Exception:  # what it cost is not known: the guess stands, and the answer is as good as it was
            log.exception("the cost of an answer can't be told")

    def drop_command(self) -> None:
        """Release the command with its body: no further attempt is written."""
        self.encode = None

    def release(self) -> None:
        """Release all that the request referred to, once it has ended.

        The client's side refers to it in turn. Guards against bodies and answers that stay in memory, counted
        by nobody, until the cyclic garbage collector comes by.
        """
        self.drop_command()
        self.on_answer = self.on_open = self.left = self.unsure = self.weigh = self.stream = None
