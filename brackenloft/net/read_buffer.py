"""The buffer that all connections of a loop read into, one at a time, and how much of it each may fill.

A transport that hands out ``bytes`` reads a quarter of a megabyte at once. On hundreds of connections that is
more than the memory before anybody can look at the first of them. What does not fit stays in the kernel.
"""

from __future__ import annotations

MOST_READ = 64 * 1024  # bytes at once: as much as the kernel mostly has
LEAST_READ = 2 * 1024  # bytes at once, however short the memory is: a usual command or answer


class ReadBuffer:
    """One buffer; a read is copied out of it before the next one begins."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(MOST_READ))

    def part(self, room: int) -> memoryview:
        """The part that may be filled while there is room for so many bytes."""
        return self.view[: max(LEAST_READ, min(MOST_READ, room))]

    def taken(self, size: int) -> bytes:
        """What was read into it."""
        return bytes(self.view[:size])
