"""A long value on its way from a server's connection to a client's, through a bounded window.

The source brings pieces and is paused while one waits here; the sink takes them when it is the value's turn
and the client takes more. Nothing is decided here but who waits for whom.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

STREAM_FROM = 64 * 1024  # bytes of a value that is passed on as it comes: the protocol's usual longest
WINDOW = 64 * 1024  # bytes that the kernel takes for us of a stream, and about what one piece holds


class Source(Protocol):
    """The server's connection."""

    def pause(self) -> None:
        """Read no further."""

    def resume(self) -> None:
        """Read on."""

    def abandon(self) -> None:
        """Nobody wants the rest: end it."""


class Stream:
    """One long value. ``sink`` is called when there is something to take, an end or a failure."""

    __slots__ = ("size", "source", "sink", "pieces", "ended", "failed")

    def __init__(self, size: int, source: Source) -> None:
        self.size, self.source = size, source
        self.sink: Callable[[], None] = _nobody
        self.pieces: list[bytes] = []
        self.ended = self.failed = False

    # ---- The server's side

    def came(self, piece: bytes) -> None:
        """A piece of the value. Guards against pieces that pile up: nothing is read while one waits."""
        self.pieces.append(piece)
        self.sink()
        if self.pieces:
            self.source.pause()

    def end(self) -> None:
        """All of it has come."""
        self.ended = True
        self.sink()

    def fail(self) -> None:
        """The rest will not come."""
        self.failed = True
        self.sink()

    # ---- The client's side

    def take(self) -> bytes:
        """What has come."""
        taken = self.pieces[0] if len(self.pieces) == 1 else b"".join(self.pieces)
        self.pieces.clear()
        return taken

    def wait(self) -> None:
        """The client takes no more now."""
        if not self.ended:
            self.source.pause()

    def go_on(self) -> None:
        """It takes more."""
        if not self.ended and not self.pieces:
            self.source.resume()

    def abandon(self) -> None:
        """The client has gone."""
        self.sink = _nobody
        self.pieces.clear()
        if not self.ended:
            self.source.abandon()


def _nobody() -> None:
    """Before a client's connection has it, and after."""
