"""The gateway as a library: embedded in the host's event loop, beside or instead of the daemon.

async with Edge(settings) as edge:
    edge.use([Node("board-1", "10.0.0.1", 6379)])
    answer = await edge.call(Call("read-board", "bairro", "00000000b4d65521", patience_ms=2000.0))
"""

from brackenloft.answers import Answer, Failed, Granted, Refused, Served
from brackenloft.checks import FieldError
from brackenloft.edge.calls import Admission, Call, EdgeClosed, Pending, Room
from brackenloft.edge.edge import Edge
from brackenloft.edge.sources import Node

__all__ = [
    "Admission",
    "Answer",
    "Call",
    "Edge",
    "EdgeClosed",
    "Failed",
    "FieldError",
    "Granted",
    "Node",
    "Pending",
    "Refused",
    "Room",
    "Served",
]
