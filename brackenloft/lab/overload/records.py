"""What clients and servers of a run write down; times in seconds of the system's monotonic clock."""

from __future__ import annotations

from enum import StrEnum

import msgspec

NEVER = 1e12  # seconds; JSON has no infinity


class Outcome(StrEnum):
    """What a sound client saw of its request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    OUT_OF_MEMORY = "out of memory"
    FOREIGN = "foreign"  # a value that was made for another request
    CUT = "cut in the middle of an answer"
    READ_AND_CLOSED = "read and closed unanswered"
    CLOSED_TWICE = "closed unanswered on two connections"
    ENDED_UNDER = "connection ended under a request that had come"
    NOT_CONNECTED = "no connection"
    PENDING = "no whole answer"


class RequestRecord(msgspec.Struct):
    """One request of a sound client."""

    identity: int
    effect: str
    value_bytes: int
    body_bytes: int
    wait_s: float
    sent_at: float = NEVER  # its last byte went to the kernel
    turn_at: float = 0.0  # the answer before it on its connection was whole
    first_byte_at: float = NEVER
    ended_at: float = NEVER
    outcome: Outcome = Outcome.PENDING
    received_bytes: int = 0
    local_port: int = 0
    turned_back: int = 0  # times that its connection ended unread
    was_open: bool = False  # by the client's kernel, as the last byte went there


class DepartureRecord(msgspec.Struct):
    """A bad client closed its connection with this request unanswered."""

    identity: int
    left_at: float


class AttemptRecord(msgspec.Struct):
    """One command that a server read whole."""

    identity: int
    began_at: float
    server: int
