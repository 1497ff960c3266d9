"""Long values on their way from servers' connections to clients', through bounded windows.

The source brings pieces and is paused while its window is full; the sink takes them when it is the value's
turn and the client takes more. One budget of bytes is shared by all streams: each may hold its even part of
it, and a least window in any case. Guards against values that fill the memory, and against servers that are
kept at an answer, and customers' places with them, for as long as a slow client takes it.

Nothing can follow a value whose rest never comes, so that one with replies owed behind it is gathered before
any of it goes to the client. It has its whole size reserved of the budget first, so that what is gathered
becomes whole beside others that do the same. Where that does not fit yet, it waits for it with a window.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from brackenloft.admission.account import Held, MemoryAccount

STREAM_FROM = 64 * 1024  # bytes of a value that is passed on as it comes: the protocol's usual longest
LEAST_WINDOW = (
    8 * 1024
)  # bytes that a stream may hold however short the memory is: a quick client waits for none
# For which a value is held back for the replies behind it. Held back for 2 s it would be lost; a loop that is
# held up takes some of that.
GATHER_MS = 1600.0
LEAST_GATHER_MS = 400.0  # also where its client has less time left: an answer half a second late is lost


def gather_ms(left_ms: float) -> float:
    """How long a value may be held back in favour of the replies behind it; all in milliseconds.

    ``left_ms``: until its client's time is up.
    """
    return min(GATHER_MS, max(LEAST_GATHER_MS, left_ms))


class Source(Protocol):
    """The server's connection."""

    def pause(self) -> None:
        """Read no further."""

    def resume(self) -> None:
        """Read on."""

    def abandon(self) -> None:
        """Nobody wants the rest: end it."""


class Streams:
    """The budget of all streams: ``most`` bytes over all, in even parts, and ``least_window`` for each."""

    def __init__(
        self, most: int, memory: MemoryAccount | None = None, least_window: int = LEAST_WINDOW
    ) -> None:
        self.most, self.least_window, self.held = most, least_window, 0
        self.memory = memory or MemoryAccount()
        self.open: set[Stream] = set()
        self.waiting: dict[Stream, None] = {}  # that gather and have nothing reserved, the first first

    def fits(self, held: int) -> bool:
        """Whether a stream that holds so much may read on."""
        return held < self.least_window or (
            self.held < self.most and held < self.part() and not self.is_short()
        )

    def is_short(self) -> bool:
        """Whether long values leave no room to others."""
        return self.memory.left_beside_headroom() <= 0

    def hold(self, size: int) -> None:
        """So much more of them is held or reserved, or less."""
        self.held += size
        self.memory.hold(Held.STREAMS, size)
        if size < 0 and self.waiting:
            self._grant()

    def reserve(self, size: int) -> bool:
        """Set so many bytes apart, if they are there; whether they were."""
        if self.held + size > self.most or self.memory.left_beside_headroom() < size:
            return False
        self.hold(size)
        return True

    def _grant(self) -> None:
        """Something has come free: those that wait reserve what they need, as far as it goes."""
        for stream in list(self.waiting):
            stream.reserve()

    def part(self) -> int:
        """Bytes that each stream may hold, where all hold as much."""
        return self.most // max(1, len(self.open))


class Stream:
    """One long value. ``sink`` is called when there is something to take, an end or a failure."""

    __slots__ = (
        "size",
        "streams",
        "source",
        "sink",
        "pieces",
        "held",
        "ended",
        "failed",
        "begun",
        "gathers",
        "hurried",
        "reserved",
        "on_gather",
    )

    def __init__(self, size: int, source: Source, streams: Streams) -> None:
        self.size, self.source, self.streams = size, source, streams
        self.sink: Callable[[], None] = _nobody
        self.pieces: deque[bytes | memoryview] = deque()
        self.held = 0
        self.ended = self.failed = False
        self.begun = False  # some of it has gone to the client
        self.gathers = False  # none of it goes to the client before all of it is here
        self.hurried = False  # it goes as it comes, whatever is owed behind it
        self.reserved: int | None = None  # bytes set apart for what has yet to come, while it gathers
        self.on_gather: Callable[[], None] = _nobody  # told when it begins to gather
        streams.open.add(self)

    def _hold(self, size: int) -> None:
        self.held += size
        self.streams.hold(size)

    # ---- The server's side

    def came(self, piece: bytes) -> None:
        """A piece of the value."""
        self.pieces.append(piece)
        self._hold(len(piece))
        self._use_reserved(len(piece))
        self.sink()
        if self.reserved is not None:
            return
        if self.gathers and not self._may_reserve():
            if self.streams.held >= self.streams.most or self.streams.is_short():
                self.hurry()
        elif not self.streams.fits(self.held):
            self.source.pause()

    def end(self) -> None:
        """All of it has come."""
        self.ended = True
        self._tell_last()

    def fail(self) -> None:
        """The rest will not come."""
        self.failed = True
        self._tell_last()

    def _tell_last(self) -> None:
        """Tell the sink for the last time, and release it: the client's connection refers to the stream."""
        sink, self.sink, self.on_gather = self.sink, _nobody, _nobody
        self._gather_no_more()
        sink()

    # ---- The client's side

    def begin(self) -> None:
        """From now on the client has a part of it."""
        self.begun = True
        self._gather_no_more()

    def gather(self) -> None:
        """Other replies are owed behind it, which a part of it would take along if the rest never came.

        It is gathered until it is hurried. One that alone is more than the budget is so once that is full.
        """
        if self.gathers or self.ended:
            return
        self.gathers = True
        self.on_gather()
        if self._may_reserve():
            self.streams.waiting[self] = None
            self.reserve()
        else:
            self.source.resume()

    def _may_reserve(self) -> bool:
        """Whether there will be room for all of it."""
        return self.size <= self.streams.most

    def reserve(self) -> None:
        """Set apart what has yet to come of it, if there is room, and read on."""
        more = max(0, self.size - self.held)
        if not self.streams.reserve(more):
            return
        self.reserved = more
        self.streams.waiting.pop(self, None)
        self.source.resume()

    def _use_reserved(self, size: int) -> None:
        if self.reserved:
            used = min(self.reserved, size)
            self.reserved -= used
            self.streams.hold(-used)

    def _gather_no_more(self) -> None:
        """Give back what is still set apart."""
        self.gathers = False
        self.streams.waiting.pop(self, None)
        reserved, self.reserved = self.reserved, None
        if reserved:
            self.streams.hold(-reserved)

    def hurry(self) -> None:
        """It is held back no longer, once it is its turn.

        Guards against cutting off what the server still gives when its client's time is up.
        """
        if not self.begun and not self.ended and not self.failed:
            self.hurried = True
            self._gather_no_more()
            self.sink()

    def take(self, most: int) -> bytes | memoryview:
        """The next piece, or so many bytes of it."""
        taken = self.pieces.popleft()
        if len(taken) > most:
            whole = memoryview(taken)
            taken = whole[:most]
            self.pieces.appendleft(whole[most:])
        self._hold(-len(taken))
        if not self.ended and self.streams.fits(self.held):
            self.source.resume()
        return taken

    def abandon(self) -> None:
        """The client has gone, or has been told that the rest is missing."""
        self.sink = self.on_gather = _nobody
        self._gather_no_more()
        self.pieces.clear()
        self._hold(-self.held)
        self.streams.open.discard(self)
        if not self.ended and not self.failed:
            self.source.abandon()


def _nobody() -> None:
    """Before a client's connection has it, and after."""
