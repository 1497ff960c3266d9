"""JSON objects out of a watch's body: on a line each, or indented over many, cut at any byte. No I/O.

An object is whole when its brackets are. What can't become one is said at once, not waited for: guards
against a watch that lives, beats, and never tells anything again.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

LONGEST = 4 * 1024 * 1024  # bytes of one object: ten thousand servers take less than half of it
STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')
BRACKET = re.compile(rb"[{}\[\]]")
OPENS, CLOSES = (b"{", b"["), (b"}", b"]")


class MalformedError(ValueError):
    """What came is no object, and no part of one."""


class Objects:
    """Takes pieces of a body, gives the objects in it, read."""

    def __init__(self) -> None:
        self.rest = bytearray()  # a line that has not ended
        self.lines: list[bytes] = []  # of an object that is open
        self.depth = self.size = 0

    @property
    def pending(self) -> int:
        """Bytes of an object, or a line, that is not whole yet."""
        return self.size + len(self.rest)

    def feed(self, data: bytes) -> Iterator[dict[str, Any]]:
        """The objects that this piece completes; MalformedError where nothing can come of what is there."""
        *lines, rest = (bytes(self.rest) + data).split(b"\n") if self.rest else data.split(b"\n")
        self.rest = bytearray(rest)
        for line in lines:
            if line.strip():
                found = self._next(line) if self.depth else self._first(line)
                if found is not None:
                    yield found
            elif self.depth:  # the empty line of a watch on which nothing changes
                raise MalformedError("a beat within an object")
        if self.size + len(self.rest) > LONGEST:
            raise MalformedError("an object without end")

    def _first(self, line: bytes) -> dict[str, Any] | None:
        """A line that begins an object, which mostly is whole on it: read once, no bracket counted.

        Guards against a line that is spoilt: the rest of an object that is none would be waited for.
        """
        text = _text(line.strip())
        try:
            return _object(json.loads(text))
        except json.JSONDecodeError as error:
            if error.pos < len(text) or not text.startswith("{"):
                raise MalformedError("no object") from None
        self._open(line)
        return None

    def _next(self, line: bytes) -> dict[str, Any] | None:
        self._open(line)
        if self.depth:
            return None
        text = _text(b"\n".join(self.lines))
        self.lines, self.size = [], 0
        try:
            return _object(json.loads(text))
        except json.JSONDecodeError:
            raise MalformedError("no object") from None

    def _open(self, line: bytes) -> None:
        """How deep the object is open at the line's end; strings end on their line."""
        if BRACKET.search(line):  # most lines have none
            bare = STRING.sub(b"", line)
            self.depth += sum(map(bare.count, OPENS)) - sum(map(bare.count, CLOSES))
            if self.depth < 0:
                raise MalformedError("a bracket too many")
        self.lines.append(line)
        self.size += len(line)


def _text(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise MalformedError("not UTF-8") from None


def _object(found: object) -> dict[str, Any]:
    if not isinstance(found, dict):
        raise MalformedError("no object")
    return found
