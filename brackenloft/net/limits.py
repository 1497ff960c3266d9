"""Limits on what one side of a gateway, clients' or servers' connections, may buffer."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackenloft.admission.account import MemoryAccount

SOCKET_BUFFER = 32 * 1024  # bytes, where nothing else is said


@dataclass(frozen=True, slots=True)
class BufferLimits:
    """In bytes: ``held`` over all connections; ``socket_buffer`` for each direction of one, of the kernel.

    ``memory``: the account of all sides. ``spare_descriptors``: beside those of the budget.
    """

    held: int
    socket_buffer: int = SOCKET_BUFFER
    memory: MemoryAccount = field(default_factory=MemoryAccount)
    spare_descriptors: int = 0
