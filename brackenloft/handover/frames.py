"""Frames on the channel between two processes: a length, a checksum, a JSON object. Pure.

Guards against another version, a process that dies while it writes, and a file of something else that
listens under our name: whatever is not whole and right raises, and its reader starts cold.
"""

from __future__ import annotations

import json
import struct
from typing import Any
from zlib import crc32

VERSION = 1
MAGIC = b"BLH%c" % VERSION
HEAD = struct.Struct("!4sII")  # magic and version, length, checksum
LONGEST = 8 * 1024 * 1024  # bytes of a frame: 20,000 customers take a third of that

Document = dict[str, Any]


class FrameError(ValueError):
    """What came is no frame of ours."""


def encode(document: Document) -> bytes:
    """One frame. FrameError: it is too long to be read at the other end."""
    body = json.dumps(document, separators=(",", ":"), allow_nan=False).encode()
    if len(body) > LONGEST:
        raise FrameError("too long a frame")
    return HEAD.pack(MAGIC, len(body), crc32(body)) + body


class Frames:
    """Reads frames from pieces of any size."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Document]:
        """The documents that are whole now; FrameError for what is none."""
        self.buffer += data
        found: list[Document] = []
        while len(self.buffer) >= HEAD.size:
            magic, length, checksum = HEAD.unpack_from(self.buffer)
            if magic != MAGIC or length > LONGEST:
                raise FrameError("another version, or no frame")
            end = HEAD.size + length
            if len(self.buffer) < end:
                break
            body = bytes(self.buffer[HEAD.size : end])
            del self.buffer[:end]
            found.append(_document(body, checksum))
        return found


def _document(body: bytes, checksum: int) -> Document:
    if crc32(body) != checksum:
        raise FrameError("a spoilt frame")
    try:
        document = json.loads(body)
    except ValueError as error:
        raise FrameError("no JSON in a frame") from error
    if not isinstance(document, dict) or not isinstance(document.get("kind"), str):
        raise FrameError("no document in a frame")
    return document
