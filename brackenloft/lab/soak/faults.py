"""Which faults befall a run, and when: drawn from a seed, overlapping in time. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

TERMINATED_S = 3.7  # from SIGTERM to SIGKILL at the earliest: the longest deadline and 0.7 s
HELD_UP_S = 0.14  # for which a process is stopped at most: under the 0.15 s that production has
SHORTEST_S, LONGEST_S = 0.3, 3.0  # of a fault that lasts
FIRST_S, LAST_S = 0.5, 0.75  # when faults begin: a moment after the start, and a share of the run
CLOCK_STEPS_S = (-3600, -5, -1, 1, 5, 3600)
MOST_FAIL_PERCENT = 10


class FaultKind(StrEnum):
    """What befalls a gateway, a server, a watch or the clients."""

    TERMINATE = "terminate"
    TERMINATE_IN_SERIES = "terminate in series"
    KILL = "kill"
    HOLD_UP = "hold up"
    RELOAD = "reload"
    STEP_CLOCK = "step clock"
    FAIL_CALLS = "fail calls"
    CROWD = "crowd"
    CLIENTS_LEAVE = "clients leave"
    DISCOVERY_SILENT = "discovery silent"
    SERVER_HANGS = "server hangs"
    SERVER_RESETS = "server resets"
    SERVER_RESTARTS = "server restarts"
    SERVER_DRAINS = "server drains"
    SERVER_SLOW = "server slow"


OF_GATEWAYS = (
    FaultKind.TERMINATE,
    FaultKind.TERMINATE_IN_SERIES,
    FaultKind.KILL,
    FaultKind.HOLD_UP,
    FaultKind.RELOAD,
    FaultKind.STEP_CLOCK,
    FaultKind.FAIL_CALLS,
    FaultKind.CROWD,
    FaultKind.CLIENTS_LEAVE,
    FaultKind.DISCOVERY_SILENT,
)
OF_SERVERS = (
    FaultKind.SERVER_HANGS,
    FaultKind.SERVER_RESETS,
    FaultKind.SERVER_RESTARTS,
    FaultKind.SERVER_DRAINS,
    FaultKind.SERVER_SLOW,
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; ``target`` numbers a gateway or a server, ``size`` is what the kind takes it for."""

    at_s: float
    kind: FaultKind
    target: int
    for_s: float
    size: int = 0


def draw(seed: int, gateways: int, servers: int, length_s: float, count: int) -> list[Fault]:
    """The faults of a run, in the order of their times. Most of the servers stay whole at any time."""
    chance = random.Random(seed)
    found = []
    for _ in range(count):
        at_s = FIRST_S + chance.random() * (LAST_S * length_s - FIRST_S)
        for_s = chance.uniform(SHORTEST_S, LONGEST_S)
        if chance.random() < 0.7:
            kind = chance.choice(OF_GATEWAYS)
            found.append(Fault(at_s, kind, chance.randrange(gateways), for_s, _size(kind, chance)))
        else:
            target = chance.randrange(max(1, servers // 2))
            found.append(Fault(at_s, chance.choice(OF_SERVERS), target, for_s))
    return sorted(found, key=lambda fault: fault.at_s)


def _size(kind: FaultKind, chance: random.Random) -> int:
    if kind is FaultKind.STEP_CLOCK:
        return chance.choice(CLOCK_STEPS_S)
    if kind is FaultKind.FAIL_CALLS:
        return chance.randint(1, MOST_FAIL_PERCENT)
    if kind is FaultKind.TERMINATE_IN_SERIES:
        return chance.randint(2, 4)
    if kind is FaultKind.CROWD:
        return chance.randint(100, 400)
    return 0
