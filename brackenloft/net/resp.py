"""RESP2 as the protocol has it here, read strictly and within bounds: commands, and answers of servers.

Guards against what a general parser takes in good faith: hiredis makes room for all elements that an array's
header names (one header of 2e9 cost 5.7 s of CPU when it was dropped again), and gathers a value of any
length. Here a header that promises more than the protocol allows is an error as soon as it is read.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import cast

LONGEST_VALUE = 4 * 1024 * 1024  # bytes of a body or a value, by the operators' page
LONGEST_HEADER = 16  # bytes of a header with its end: a type, up to seven digits, CR LF, some to spare
LONGEST_LINE = 512  # bytes of an error line: some words, the figures on use, a load report
LONGEST_FIGURES = 256  # bytes of the figures on use, and of a load report
ARRAY = re.compile(rb"\*([0-9]{1,7})\r\n")
USUAL = re.compile(  # a command but for its body; each word at most as long as Commands allows
    rb"\*([45])\r\n\$([0-9]{1,2})\r\n([^\r\n]{1,64})\r\n\$([0-9]{1,2})\r\n([^\r\n]{1,64})\r\n"
    rb"\$([0-9]{1,3})\r\n([^\r\n]{1,128})\r\n\$([0-9]{1,3})\r\n([^\r\n]{1,512})\r\n"
)
MOST_PARTS = 64  # pieces that are kept apart
COLLECTED_FROM = 64 * 1024  # bytes of a string that is collected: more than most have
BULK = re.compile(rb"\$([0-9]{1,7}|-1)\r\n")


class ProtocolError(ValueError):
    """What was read is not of the form that the protocol has."""


class Bulks:
    """Reads arrays of bulk strings, each at most as long as ``longest`` says for its place.

    ``collects``: a long string is written to its place as it comes, and is a bytearray.
    """

    collects = False

    def __init__(self, longest: Sequence[int], least: int, nullable_from: int) -> None:
        self.longest, self.least, self.nullable_from = longest, least, nullable_from
        self.buffer = b""
        self.start = self.place = 0  # of what is not done with, and of the next byte to be read
        self.parts: list[bytes] = []  # what has come since, not yet joined
        self.left = self.needed = 0  # bytes not done with, and how many there must be before it goes on
        self.count = 0  # elements of the array that is being read, 0 before its header
        self.length: int | None = None  # of the element whose header has been read
        self.words: list[bytes | bytearray | None] = []
        self.long: bytearray | None = None  # a string that is collected
        self.collected = 0  # bytes of this array that stand in the buffer no more

    def feed(self, data: bytes) -> None:
        """Take in what has come.

        A long value is joined once, when all of it is there. Guards against copying what has come of it with
        each piece, and against a piece of a byte that takes fifty.
        """
        self.left += len(data)
        if self.long is not None:
            data = self._collect(data)
            if not data:
                return
        if not self.buffer:
            self.buffer, self.start, self.place = data, 0, 0
            return
        self.parts.append(data)
        if len(self.parts) >= MOST_PARTS or self.left >= self.needed:
            self.buffer = b"".join((self.buffer[self.start :], *self.parts))
            self.place -= self.start
            self.start = 0
            self.parts.clear()

    def next(self) -> list[bytes | bytearray | None] | None:
        """The next array, or None until it is whole; raises ProtocolError."""
        if self.left < self.needed:
            return None
        if not self.count:
            head = ARRAY.match(self.buffer, self.start)
            if head is None:
                self.place = self.start
                self._refuse_if_wrong(b"*")
                return None
            self.count, self.place, self.words = int(head[1]), head.end(), []
            if not self.least <= self.count <= len(self.longest):
                raise ProtocolError("bad number of elements")
        if not self._elements():
            return None
        self.count = 0
        self._done(self.place)
        words, self.words = self.words, []  # an idle connection keeps no body or value
        return words

    def _done(self, end: int) -> None:
        """All before this place is done with."""
        self.left, self.needed = self.left - self.collected - (end - self.start), 0
        self.collected = 0
        self.start = self.place = end
        if not self.left:
            self.buffer, self.start, self.place = b"", 0, 0

    def _elements(self) -> bool:
        """Read elements as far as they are there; whether that is all of them."""
        buffer, place, words = self.buffer, self.place, self.words
        while len(words) < self.count:
            if self.length is None:
                head = BULK.match(buffer, place)
                if head is None:
                    self._refuse_if_wrong(b"$")
                    return False
                self.length, self.place = length, place = int(head[1]), head.end()
                if length > self.longest[len(words)] or (length < 0 and len(words) < self.nullable_from):
                    raise ProtocolError("too long, or null")
            else:
                length = self.length
            if length < 0:
                words.append(None)
            else:
                end = place + length - (0 if self.long is None else len(self.long))
                if len(buffer) < end + 2:
                    self.needed = self.collected + end + 2 - self.start
                    if self.collects and self.long is None and length > COLLECTED_FROM:
                        self._begin_to_collect()
                    return False
                if not buffer.startswith(b"\r\n", end):
                    raise ProtocolError("longer than it says")
                words.append(buffer[place:end] if self.long is None else self.long)
                self.long = None
                self.place = place = end + 2
            self.length = None
        return True

    def _begin_to_collect(self) -> None:
        """Move what has come of a long string to its place, which grows with it."""
        come = b"".join((self.buffer[self.place :], *self.parts))
        self.collected += self.place - self.start
        self.parts.clear()
        self.buffer, self.start, self.place = b"", 0, 0
        self.long = bytearray()
        self.buffer = self._collect(come)

    def _collect(self, data: bytes) -> bytes:
        """Add to the long string; what is behind it."""
        assert self.long is not None and self.length is not None
        taken = min(len(data), self.length - len(self.long))
        self.long += memoryview(data)[:taken]
        self.collected += taken
        return data[taken:]

    def _refuse_if_wrong(self, kind: bytes) -> None:
        """No header stands here: whether one may still come of it."""
        rest = self.buffer[self.place : self.place + LONGEST_HEADER]
        if rest and (rest[:1] != kind or len(rest) == LONGEST_HEADER or b"\n" in rest):
            raise ProtocolError("bad header")


class Commands(Bulks):
    """Commands of clients: name, customer, id, list of names and values, body."""

    collects = True

    def __init__(self) -> None:
        super().__init__((64, 64, 128, 512, LONGEST_VALUE), least=1, nullable_from=5)

    def command(self) -> list[bytes] | None:
        """The next command, or None until it is whole."""
        return self._usual() or cast("list[bytes] | None", self.next())  # nothing may be null

    def _usual(self) -> list[bytes] | None:
        """A whole command of the usual form at one go; all others are read step by step."""
        head = None if self.count else USUAL.match(self.buffer, self.start)
        if head is None:
            return None
        few, a, name, b, customer, c, request_id, d, listed = head.groups()
        if (int(a), int(b), int(c), int(d)) != (len(name), len(customer), len(request_id), len(listed)):
            return None
        words, end = [name, customer, request_id, listed], head.end()
        if few == b"5":
            body = BULK.match(self.buffer, end)
            if body is None or not 0 <= (length := int(body[1])) <= LONGEST_VALUE:
                return None
            first, end = body.end(), body.end() + length + 2
            if len(self.buffer) < end or not self.buffer.startswith(b"\r\n", end - 2):
                return None
            words.append(self.buffer[first : end - 2])
        self._done(end)
        return words


Answer = list[bytes | None] | str  # value, figures on use, load report; or an error line without its dash


class Answers(Bulks):
    """Answers of a server: an array of value, figures on use and load report, or an error line."""

    def __init__(self) -> None:
        super().__init__((LONGEST_VALUE, LONGEST_FIGURES, LONGEST_FIGURES), least=3, nullable_from=1)
        self.value_left = 0  # bytes of a value that is passed on as it comes

    def opening(self, least: int) -> tuple[int, bytes] | None:
        """Of a value of more than ``least`` bytes that is not whole yet: its length, and what has come of it.

        What comes from then on goes through ``piece`` until that has had all of it.
        """
        if not self.count or self.words or self.length is None or self.length <= least:
            return None
        length = self.length
        come = b"".join((self.buffer[self.place :], *self.parts))
        self.parts.clear()
        self.buffer, self.start, self.place, self.left, self.needed = b"", 0, 0, 0, 0
        self.value_left, self.length = length, 0  # an empty value is left for the reader, and its end
        return length, self.piece(come)

    def may_be_long(self, least: int) -> bool:
        """Whether a value of more than ``least`` bytes may come, by what has come so far."""
        if self.words or (not self.count and self.buffer.startswith(b"-", self.start)):
            return False
        return self.length is None or self.length > least

    def piece(self, data: bytes) -> bytes:
        """Of what has come, the part that belongs to the value; the rest is fed."""
        part = data[: self.value_left] if len(data) > self.value_left else data
        self.value_left -= len(part)
        if len(part) < len(data):
            self.feed(data[len(part) :])
        return part

    def answer(self) -> Answer | None:
        """The next answer, or None until it is whole."""
        if self.count or not self.buffer.startswith(b"-", self.start):
            return cast("list[bytes | None] | None", self.next())  # nothing is collected here
        end = self.buffer.find(b"\r\n", self.start, self.start + LONGEST_LINE)
        if end < 0:
            if self.left >= LONGEST_LINE:
                raise ProtocolError("a line without end")
            return None
        line = self.buffer[self.start + 1 : end]
        self._done(end + 2)
        if not line.isascii():
            raise ProtocolError("a line that is no text")
        return line.decode("ascii")
