"""The enumerations of the decision module's settings, events and actions."""

from __future__ import annotations

from enum import Enum


class Effect(Enum):
    """Whether a request may be repeated: freely, within a group that knows its key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class KeyScope(Enum):
    """Which servers drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How server lists come: unasked, or only after ``Subscribe`` or ``FetchList``."""

    PUSH = "push"
    ASK = "ask"


class ServerState(Enum):
    """What discovery says of a server's process."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a server list holds: changes, everything, everything as last known, or a failed call."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Status(Enum):
    """How an attempt, a probe or a counter call ended. FULL, CONNECT_FAILED and NOT_SENT never ran."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
