"""Since when a server's age counts: by the list's figure where that can be, else by when it was told.

The list gives a wall clock's time. That clock, or the gateway's own, may be stepped by any amount; spans of
real time go by the monotonic clock. A start that is told while the gateway watches happened a few seconds
before at most; a figure that says otherwise is not believed.
"""

from __future__ import annotations

from math import inf

TOLD_LATE_MS = 6000.0  # a change is told so late at most, by the protocol


def counts_from(now: float, started: float, watched: bool) -> float:
    """When a server was started, in ms of the decisions' clock. ``started``: the list's figure, 0: long ago.

    ``watched``: the start is told while the gateway watches, and was not found in its first lists.
    """
    if started <= 0.0:
        return -inf
    if started > now:
        return now
    if watched and now - started > TOLD_LATE_MS:
        return now
    return started
