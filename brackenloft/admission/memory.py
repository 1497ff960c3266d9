"""How a process's memory is divided among all that it holds for its peers. Pure; sizes in bytes.

A part for the connections themselves, with what the kernel holds in their sockets; one for what clients have
sent and for replies that they have not taken; one for servers' answers; the rest for customers. Descriptors
are left unused where the memory is too little for as many connections.
"""

from __future__ import annotations

from dataclasses import dataclass

CONNECTIONS_SHARE = 0.4  # for connections, their sockets' buffers included
BUFFERED_SHARE = 0.24  # for each side; what is left of both is the customers'
CONNECTION_BYTES = 6 * 1024  # of one connection beside its buffers
# Socket buffers' sizes that one connection takes: the kernel doubles what it is asked for (socket(7)), and a
# part of an answer waits here. Both directions are not full at once: who takes no answers is not read.
SOCKET_PARTS = 4
LEAST_SOCKET_BUFFER = 2304  # half of the kernel's least send buffer
MOST_SOCKET_BUFFER = 64 * 1024
LEAST_BUFFERED = 1024 * 1024
LEAST_CONNECTIONS = 16


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The parts.

    ``connections``: at most, of both sides. ``socket_buffer``: asked of the kernel for each direction of a
    connection. ``buffered``: for each of the two sides. ``customers``: for all of them.
    """

    connections: int
    socket_buffer: int
    buffered: int
    customers: int


def plan_memory(free: int, descriptors: int, longest: int) -> MemoryPlan:
    """Divide what is ``free`` beside the program; a command of the ``longest`` size has its own reserve.

    ``descriptors``: for connections of both sides.
    """
    shared = max(0, free - longest)
    for_connections = int(shared * CONNECTIONS_SHARE)
    least = CONNECTION_BYTES + SOCKET_PARTS * LEAST_SOCKET_BUFFER
    connections = max(1, min(descriptors, max(LEAST_CONNECTIONS, for_connections // least)))
    fits = (for_connections // connections - CONNECTION_BYTES) // SOCKET_PARTS
    return MemoryPlan(
        connections,
        max(LEAST_SOCKET_BUFFER, min(MOST_SOCKET_BUFFER, fits)),
        max(LEAST_BUFFERED, int(shared * BUFFERED_SHARE)),
        max(0, int(shared * (1.0 - CONNECTIONS_SHARE - 2.0 * BUFFERED_SHARE))),
    )
