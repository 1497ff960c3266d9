"""What a protocol of servers provides to the connections: a reader of answers, and a decoder of each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from brackenloft.net.attempt import Reply


class ReplyReader(Protocol):
    """Reads answers from what comes on a connection; ``left``: bytes that are not done with."""

    left: int

    def feed(self, data: bytes) -> None:
        """Take in what has come."""

    def answer(self) -> Any:
        """The next answer, or None until it is whole; raises ProtocolError."""

    def opening(self, least: int) -> tuple[int, bytes] | None:
        """Size and first bytes of a long value that begins to come, where it can be passed on."""

    def may_be_long(self, least: int) -> bool:
        """Whether a value of more than ``least`` bytes may come, by what has come so far."""

    def piece(self, data: bytes) -> bytes:
        """What of this belongs to that value."""


class ReplyDecoder(Protocol):
    """Reads what an answer says of its attempt."""

    def decode(self, answer: Any) -> Reply:
        """An answer, in the decisions' terms."""


@dataclass(frozen=True, slots=True)
class ServerProtocol:
    """A protocol of servers: how answers are read; commands are encoded by whoever starts an attempt."""

    reader: Callable[[], ReplyReader]
    decoder: ReplyDecoder
