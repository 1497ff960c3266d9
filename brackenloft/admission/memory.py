"""How a process's memory is divided: all that is held for peers, and customers. Pure; sizes in bytes."""

from __future__ import annotations

from dataclasses import dataclass

CUSTOMERS_SHARE = 0.1
OVERHEAD_SHARE = 0.1  # for what the allocator takes beside what is counted
BUFFERED_SHARE = 0.4  # of what is held for peers, for each side: clients, servers
CONNECTIONS_SHARE = 0.6  # for connections themselves at most; descriptors beyond that stay unused
CONNECTION_BYTES = 6 * 1024  # of one connection beside its buffers
SOCKETS_SHARE = 0.4  # for the kernel's buffers, were FILLED_SHARE of the connections to fill theirs
FILLED_SHARE = 0.25  # beyond it the account has nothing left, and nobody else is let in or read
# Times the size that the kernel is asked for. It doubles it (socket(7)), and takes a whole write more.
RECEIVED_PARTS, SENT_PARTS = 2, 4
LEAST_SOCKET_BUFFER = 2304  # half of the kernel's least send buffer
MOST_SOCKET_BUFFER = 32 * 1024
LEAST_CONNECTIONS = 16
LEAST_PEERS = 3 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The parts.

    ``peers``: for all that is held for them, of which ``buffered`` for each side at most. ``connections``: at
    most, of both sides. ``socket_buffer``: asked of the kernel for each direction of a connection.
    ``customers``: for all of them.
    """

    peers: int
    buffered: int
    connections: int
    socket_buffer: int
    customers: int


def plan_memory(free: int, descriptors: int, longest: int) -> MemoryPlan:
    """Divide what is ``free`` beside the program; a command of the ``longest`` size has its own reserve.

    ``descriptors``: for connections of both sides.
    """
    shared = max(0, free - longest)
    customers = int(shared * CUSTOMERS_SHARE)
    peers = max(LEAST_PEERS, shared - customers - int(shared * OVERHEAD_SHARE))
    fit = int(peers * CONNECTIONS_SHARE) // CONNECTION_BYTES
    connections = max(LEAST_CONNECTIONS, min(descriptors, fit))
    filled = max(1, int(connections * FILLED_SHARE))
    socket_buffer = int(peers * SOCKETS_SHARE) // (filled * (RECEIVED_PARTS + SENT_PARTS))
    return MemoryPlan(
        peers,
        int(peers * BUFFERED_SHARE),
        connections,
        max(LEAST_SOCKET_BUFFER, min(MOST_SOCKET_BUFFER, socket_buffer)),
        customers,
    )
