"""RESP2 as it is written: commands to servers, answers to clients. What is read stands in resp.py."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable, Sequence

from brackenloft import interface as api
from brackenloft.answers import Answer, Refused, Served

WAIT = re.compile(rb"(?:^|,)d=")
WAIT_TIME = re.compile(rb"(?:^|,)d=([0-9]{1,9}(?:\.[0-9]{1,9})?)(?:,|$)")
LISTED = 3  # the place of the list of names and values in a command
# Bytes as they are written; several pieces are written one behind the other, and never joined.
Buffers = bytes | tuple[bytes, ...]
Encoder = Callable[[float], Buffers]  # from the milliseconds that the gateway waits
JOINED = 16 * 1024  # bytes of a body up to which a copy costs less than a second piece


def command(words: Sequence[bytes]) -> Buffers:
    """An array of bulk strings. The last one, if it is long, is not copied."""
    *short, last = words
    head = b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in short)
    if len(last) > JOINED:
        return b"%b$%d\r\n" % (head, len(last)), last, b"\r\n"
    return b"%b$%d\r\n%b\r\n" % (head, len(last), last)


def parts(buffers: Buffers, size: int) -> deque[bytes | memoryview]:
    """The same bytes in pieces of at most this size, without a copy.

    A longer write fills the kernel's buffer beyond its bound, and the peer, which then expects segments as
    long, acknowledges shorter ones 40 ms late.
    """
    made: deque[bytes | memoryview] = deque()
    for buffer in (buffers,) if isinstance(buffers, bytes) else buffers:
        if len(buffer) <= size:
            made.append(buffer)
            continue
        view = memoryview(buffer)
        made.extend(view[start : start + size] for start in range(0, len(view), size))
    return made


def value_header(size: int) -> bytes:
    """What stands before a value of this size; behind it stands an end of line."""
    return b"$%d\r\n" % size


def answer_line(answer: Answer) -> bytes:
    """The one answer of a request, for a client."""
    if isinstance(answer, Served):
        return b"$%d\r\n%b\r\n" % (len(answer.value), answer.value)
    if isinstance(answer, Refused):
        return b"-BUSY %d\r\n" % answer.retry_after_ms if answer.retry_after_ms > 0 else b"-BUSY\r\n"
    return b"-ERR failed\r\n"


def forwarded(name: bytes, words: list[bytes], listed: bytes) -> Encoder:
    """A client's command: everything goes on unchanged but ``d``, which tells how long the gateway waits."""
    place = WAIT.search(listed)
    assert place, "it has been checked"
    before, after = listed[: place.end()], listed[listed.find(b",", place.end()) :]
    if b"," not in listed[place.end() :]:
        after = b""

    def encode(wait_ms: float) -> Buffers:
        text = b"%b%d%b" % (before, max(1, int(wait_ms)), after)
        return command([name, words[1], words[2], text, *words[4:]])

    return encode


def wait_ms(words: Sequence[bytes | bytearray | None]) -> float | None:
    """How long a client will wait, by the words of its command that have come; None where they don't say."""
    listed = words[LISTED] if len(words) > LISTED else None
    told = WAIT_TIME.search(listed) if listed else None
    return float(told[1]) if told else None


def decimal(number: float) -> str:
    """A number as the protocol has it: digits, and at most nine behind a point."""
    return f"{number:.9f}".rstrip("0").rstrip(".")


def call(request: api.Request, key: str | None, body: bytes) -> Encoder:
    """A request of the host itself, as a client would have written it."""
    posts = request.is_write
    words = [b"CALL.POST" if posts else b"CALL.GET", request.customer.encode(), request.request_id.encode()]
    fields = [
        *([f"k={key}"] if key else []),
        f"units={decimal(request.units)}",
        f"spread={request.width}",
        f"first={request.first_gateway}",
        *(["r=1"] if request.is_retry else []),
    ]
    head, tail = f"c={request.class_name},t={request.plan},d=", "," + ",".join(fields)

    def encode(wait_ms: float) -> Buffers:
        listed = f"{head}{max(1, int(wait_ms))}{tail}".encode()
        return command([*words, listed, body] if posts else [*words, listed])

    return encode
