"""The places of replies in the order of a connection's commands."""

from __future__ import annotations

from typing import Protocol

from brackenloft.admission.account import Held
from brackenloft.answers import Answer, Opened
from brackenloft.net import wire
from brackenloft.net.call import Call
from brackenloft.net.streams import Stream


class ReplyWriter(Protocol):
    """The connection that a slot's reply is written on."""

    def hold(self, size: int, kind: Held) -> None:
        """Count bytes that are buffered for this connection, or less of them."""

    def flush(self) -> None:
        """Write the replies that are due, in the order of their commands."""

    def turned_away(self) -> None:
        """Nothing was sent on for a request."""


class Slot:
    """The place of a command's reply in the order of its connection."""

    __slots__ = ("connection", "answer", "request_id", "size", "kind", "call", "stream")

    def __init__(
        self,
        connection: ReplyWriter,
        answer: bytes | memoryview | None = None,
        request_id: str = "",
        size: int = 0,
    ) -> None:
        self.connection, self.answer, self.request_id = connection, answer, request_id
        self.size = size  # bytes that it holds: the command, later the answer
        self.kind = Held.IN_HAND if answer is None else Held.REPLIES
        self.call: Call | None = None
        self.stream: Stream | None = None  # what comes behind the answer's header

    def open(self, opened: Opened) -> None:
        """The command's one answer begins to come, as a long value."""
        self.stream = opened.stream
        self.stream.sink = self.connection.flush
        self.connection.flush()

    def begin(self, stream: Stream) -> bytes:
        """What stands before the value, which goes to the client from now on."""
        stream.begin()
        self.answer, self.call = b"", None
        self._resize(0)
        return wire.value_header(stream.size)

    def take(self, size: int) -> memoryview:
        """The next bytes of a reply that is longer. It counts as held until all of it is written."""
        assert self.answer is not None
        rest = memoryview(self.answer)
        self.answer = rest[size:]
        return rest[:size]

    def fill(self, answer: Answer) -> None:
        """The command's one answer."""
        if self.call and not self.call.sends:
            self.connection.turned_away()
        self.settle(answer)
        self.connection.flush()

    def settle(self, answer: Answer) -> None:
        """The command's one answer, to be written when its turn comes."""
        self.answer, self.stream, self.call = wire.answer_line(answer), None, None
        self._resize(len(self.answer))

    def release(self) -> None:
        """It holds nothing any more."""
        size, self.size = self.size, 0
        self.connection.hold(-size, self.kind)

    def _resize(self, size: int) -> None:
        self.release()
        self.size, self.kind = size, Held.REPLIES
        self.connection.hold(size, self.kind)
