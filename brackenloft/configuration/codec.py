"""Messages as bytes: a digest, then zlib-compressed MessagePack. What is read is bounded and checked whole.

The digest covers every byte that follows, so that damage is found before anything is decompressed. zlib's own
checksum does not cover its header, and is weak for short messages.
"""

from __future__ import annotations

import zlib
from functools import lru_cache
from typing import Any, TypeVar, overload

import msgspec

from brackenloft.configuration.messages import LONGEST_ANSWER_BYTES
from brackenloft.configuration.tree import DIGEST_BYTES, digest_of

COMPRESSION_LEVEL = 6
MOST_EXPANSION_BYTES = 1024  # by which incompressible content may grow, beside a thousandth
MOST_KINDS = 64  # types of message whose decoders are kept
Message = TypeVar("Message")
_ENCODER = msgspec.msgpack.Encoder()


class CodecError(ValueError):
    """Bytes that are no message of the expected type, or are too many."""


def encode(message: object, level: int = COMPRESSION_LEVEL) -> bytes:
    """A message of any msgspec type as bytes; ``level`` is zlib's."""
    body = zlib.compress(_ENCODER.encode(message), level)
    return digest_of(body) + body


@overload
def decode(data: bytes, kind: type[Message], longest_bytes: int = ...) -> Message: ...
@overload
def decode(data: bytes, kind: Any, longest_bytes: int = ...) -> Any: ...
def decode(data: bytes, kind: Any, longest_bytes: int = LONGEST_ANSWER_BYTES) -> Any:
    """Read a message of a type, or of one of a tagged union.

    ``longest_bytes`` bounds the message as it is decompressed. CodecError for whatever is wrong.
    """
    if len(data) > most_encoded_bytes(longest_bytes):
        raise CodecError(f"{len(data)} bytes are more than {longest_bytes} may become")
    digest, body = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if digest_of(body) != digest:
        raise CodecError(f"damaged or truncated: {len(data)} bytes do not have their digest")
    try:
        return _decoder(kind).decode(_decompress(body, longest_bytes))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise CodecError(f"not a message of the expected type: {error}") from error


def most_encoded_bytes(longest_bytes: int) -> int:
    """The most bytes that a message of ``longest_bytes`` has when encoded: how much to read from a peer."""
    return longest_bytes + longest_bytes // 1000 + MOST_EXPANSION_BYTES


def _decompress(body: bytes, longest_bytes: int) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(body, longest_bytes + 1)
    except zlib.error as error:
        raise CodecError(f"not compressed by zlib: {error}") from error
    if len(content) > longest_bytes:
        raise CodecError(f"longer than {longest_bytes} bytes when decompressed")
    if not decompressor.eof or decompressor.unused_data:
        raise CodecError("truncated, or followed by further bytes")
    return content


@lru_cache(MOST_KINDS)
def _decoder(kind: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(kind)
