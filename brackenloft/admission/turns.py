"""How many commands of one connection are in hand while requests wait for servers. Pure.

Parked requests of equal worth leave in the order in which they came. Without a bound of its own a connection
that pipelines is served by the number of its commands, and one that asks one by one waits behind all of them.
What is not read waits in the kernel, on its own connection, in nobody else's way.
"""

from __future__ import annotations

AHEAD = 2  # for each request at the servers one more that takes its place at once: no server idles for a turn


def depth(most: int, parked: int, in_hand: int, asking: int) -> int:
    """Commands that a connection may have in hand: ``most``, or its even part while requests wait.

    ``parked`` of the ``in_hand`` requests wait; the others are at the servers or on their way. ``asking``
    connections have something in hand or are within a command. It says nothing of who needs less than the
    even part: once nobody waits, what these leave free is anybody's.
    """
    if not parked or asking < 2:
        return most
    return max(1, min(most, AHEAD * max(0, in_hand - parked) // asking))
