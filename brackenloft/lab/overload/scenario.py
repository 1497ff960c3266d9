"""What a run plays: the kind and size of the crowd, the gateway's limits, its restarts."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum


class CrowdKind(StrEnum):
    """What the bad clients do."""

    NONE = "none"
    WRITE = "write"
    HALF = "half"
    HEADS = "heads"
    READERS = "readers"
    GARBLE = "garble"
    CHURN = "churn"
    PIPELINE = "pipeline"
    REST = "rest"
    SILENT = "silent"
    ALL = "all"


class Usage(StrEnum):
    """What the sound clients ask for."""

    MIXED = "mixed"  # values and bodies of all sizes, on connections that they keep
    SHORT = "short"  # short values, one at a time, so that more of them can ask
    ONE_EACH = "one-each"  # the same, each on a connection of its own
    PURCHASES = "purchases"  # unsafe requests with long bodies and long times


NOT_DRAWN = (CrowdKind.REST, CrowdKind.SILENT)
APART = (CrowdKind.NONE, *NOT_DRAWN, CrowdKind.ALL)  # kinds that are no part of ALL
ALL_KINDS = tuple(kind for kind in CrowdKind if kind not in APART)
MEMORIES_MB, SOCKETS, CROWDS = (32, 48, 64, 192), (256, 1024), (60, 100, 300, 600, 900)
RESTART_SHARE = 0.25  # of the drawn runs
PURCHASE_WAIT_S = 8.0  # of the clients of long purchases


@dataclass(frozen=True, slots=True)
class Trouble:
    """What servers do to connections, and how often the gateway's process stands still."""

    places: int = 0  # requests of a server at once, beyond which it refuses and ends the connection; 0: any
    reset_share: float = 0.0  # of the connections to servers, reset as they come up
    body_rate: float = 0.0  # bytes a second at which a server takes a command; 0: at full speed
    stops_per_s: float = 0.0  # SIGSTOP of the gateway, each for a part of ``LONGEST_STOP_S``


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run. ``restart_at_s``: when the process is told to end and replaced; 0 for never."""

    seed: int
    kind: CrowdKind = CrowdKind.ALL
    crowd: int = 300
    memory_mb: int = 32
    sockets: int = 1024
    seconds: float = 10.0
    restart_at_s: float = 0.0
    rate_per_s: float = 60.0  # of sound requests
    trouble: Trouble = Trouble()
    usage: Usage = Usage.MIXED

    def sound_usage(self) -> Usage:
        """What the sound clients ask for; in trouble no long values."""
        if self.usage is Usage.MIXED and self.trouble != Trouble():
            return Usage.SHORT
        return self.usage

    @staticmethod
    def drawn(seed: int, seconds: float) -> Scenario:
        """Limits, crowd and restarts of a seed."""
        chance = random.Random(f"overload {seed}")
        kind, memory_mb = (
            chance.choice([kind for kind in CrowdKind if kind not in NOT_DRAWN]),
            chance.choice(MEMORIES_MB),
        )
        crowd, sockets = chance.choice(CROWDS), chance.choice(SOCKETS)
        restarts = chance.random() < RESTART_SHARE
        return Scenario(seed, kind, crowd, memory_mb, sockets, seconds, seconds / 2 if restarts else 0.0)
