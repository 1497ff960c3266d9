"""Stand-ins on loopback for what surrounds a gateway, written from the protocol's page, with scripted faults.

For tests, benchmarks and ``brackenloft demo``; the gateway itself imports none of it.
"""

from brackenloft.standins.board import (
    BoardNode,
    Fault,
    Meter,
    Quota,
    ScriptedNode,
    at_random,
    in_order,
)
from brackenloft.standins.discovery import Agent, ScriptedDiscovery, chunk, listing, row
from brackenloft.standins.peer import Line, Peer, array, resp

__all__ = [
    "Agent", "BoardNode", "Fault", "Line", "Meter", "Peer", "Quota", "ScriptedDiscovery", "ScriptedNode",
    "array", "at_random", "chunk", "in_order", "listing", "resp", "row",
]
