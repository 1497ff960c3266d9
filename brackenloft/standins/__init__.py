"""Stand-ins on loopback for what surrounds a gateway, written from the protocol's page, with scripted faults.

For tests, benchmarks and ``brackenloft demo``; the gateway itself imports none of it.
"""

from brackenloft.standins.board import BoardNode
from brackenloft.standins.discovery import Agent, ScriptedDiscovery, chunk, listing, row
from brackenloft.standins.faults import Fault, at_random, in_order
from brackenloft.standins.meter import Meter, Quota
from brackenloft.standins.peer import Line, Peer, array, resp
from brackenloft.standins.scripted_node import ScriptedNode

__all__ = [
    "Agent",
    "BoardNode",
    "Fault",
    "Line",
    "Meter",
    "Peer",
    "Quota",
    "ScriptedDiscovery",
    "ScriptedNode",
    "array",
    "at_random",
    "chunk",
    "in_order",
    "listing",
    "resp",
    "row",
]
