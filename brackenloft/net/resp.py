"""RESP2 as the protocol has it here, read strictly and within bounds: commands, and answers of servers.

Guards against what a general parser takes in good faith: hiredis makes room for all elements that an array's
header names (one header of 2e9 cost 5.7 s of CPU when it was dropped again), and gathers a value of any
length. Here a header that promises more than the protocol allows is an error as soon as it is read.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import cast

LONGEST_VALUE = 1024 * 1024  # bytes of a body or a value: 64 KiB by the protocol, but 395 KB have been seen
LONGEST_HEADER = 16  # bytes of a header with its end: a type, up to seven digits, CR LF, some to spare
LONGEST_LINE = 512  # bytes of an error line: some words, the figures on use, a load report
LONGEST_FIGURES = 256  # bytes of the figures on use, and of a load report
ARRAY = re.compile(rb"\*([0-9]{1,7})\r\n")
BULK = re.compile(rb"\$([0-9]{1,7}|-1)\r\n")


class ProtocolError(ValueError):
    """What was read is not of the form that the protocol has."""


class Bulks:
    """Reads arrays of bulk strings, each at most as long as ``longest`` says for its place."""

    def __init__(self, longest: Sequence[int], least: int, nullable_from: int) -> None:
        self.longest, self.least, self.nullable_from = longest, least, nullable_from
        self.buffer = b""
        self.place = 0  # of the next byte to be read; what lies before it is done with
        self.count = 0  # elements of the array that is being read, 0 before its header
        self.length: int | None = None  # of the element whose header has been read
        self.words: list[bytes | None] = []

    def feed(self, data: bytes) -> None:
        """Take in what has come."""
        self.buffer = self.buffer + data if self.buffer else data

    def next(self) -> list[bytes | None] | None:
        """The next array, or None until it is whole; raises ProtocolError."""
        if not self.count:
            head = ARRAY.match(self.buffer)
            if head is None:
                self._refuse_if_wrong(b"*")
                return None
            self.count, self.place, self.words = int(head[1]), head.end(), []
            if not self.least <= self.count <= len(self.longest):
                raise ProtocolError("bad number of elements")
        if not self._elements():
            return None
        self.buffer, self.place, self.count = self.buffer[self.place:], 0, 0
        return self.words

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
                end = place + length
                if len(buffer) < end + 2:
                    return False
                if not buffer.startswith(b"\r\n", end):
                    raise ProtocolError("longer than it says")
                words.append(buffer[place:end])
                self.place = place = end + 2
            self.length = None
        return True

    def _refuse_if_wrong(self, kind: bytes) -> None:
        """No header stands here: whether one may still come of it."""
        rest = self.buffer[self.place:self.place + LONGEST_HEADER]
        if rest and (rest[:1] != kind or len(rest) == LONGEST_HEADER or b"\n" in rest):
            raise ProtocolError("bad header")


class Commands(Bulks):
    """Commands of clients: name, customer, id, list of names and values, body."""

    def __init__(self) -> None:
        super().__init__((64, 64, 128, 512, LONGEST_VALUE), least=1, nullable_from=5)

    def command(self) -> list[bytes] | None:
        """The next command, or None until it is whole."""
        return cast("list[bytes] | None", self.next())  # nothing may be null


Answer = list[bytes | None] | str  # value, figures on use, load report; or an error line without its dash


class Answers(Bulks):
    """Answers of a server: an array of value, figures on use and load report, or an error line."""

    def __init__(self) -> None:
        super().__init__((LONGEST_VALUE, LONGEST_FIGURES, LONGEST_FIGURES), least=3, nullable_from=1)

    def answer(self) -> Answer | None:
        """The next answer, or None until it is whole."""
        if self.count or not self.buffer.startswith(b"-"):
            return self.next()
        end = self.buffer.find(b"\r\n", 0, LONGEST_LINE)
        if end < 0:
            if len(self.buffer) >= LONGEST_LINE:
                raise ProtocolError("a line without end")
            return None
        line, self.buffer = self.buffer[1:end], self.buffer[end + 2:]
        if not line.isascii():
            raise ProtocolError("a line that is no text")
        return line.decode("ascii")
