"""When what was read ahead of a connection came to the kernel. Pure; times in seconds of one clock."""

from __future__ import annotations

from collections import deque

MOST_READS = 64  # kept apart; what comes beyond that counts as having come with the read before it


class Arrivals:
    """Reads of one connection that are not all taken yet, the first one first.

    Guards against telling a server a time that a command spent here behind others, as more was read after it.
    """

    __slots__ = ("reads", "read", "taken")

    def __init__(self) -> None:
        self.reads: deque[tuple[int, float]] = deque()  # where each ends, and when it came
        self.read = self.taken = 0  # bytes so far

    def note(self, size: int, came_at: float) -> None:
        """So many bytes were read, which had come at that time."""
        self.read += size
        if len(self.reads) >= MOST_READS:
            came_at = self.reads.pop()[1]
        self.reads.append((self.read, came_at))

    def newest(self) -> float:
        """When what was read last came."""
        return self.reads[-1][1]

    def in_last_read(self) -> bool:
        """Whether what was taken last ended within the newest read."""
        return len(self.reads) == 1

    def take(self, size: int) -> float:
        """When the last of the next so many bytes came."""
        self.taken += size
        while len(self.reads) > 1 and self.reads[0][0] < self.taken:
            self.reads.popleft()
        return self.reads[0][1]
