"""What the kernel tells of a peer whose connection is closed, for the audit of closes.

Kept apart from the code that decides on a close: its figures are the kernel's own, sampled over time.
"""

from __future__ import annotations

import socket
import struct
import time
from collections import deque

from brackenloft.net.kernel import peer_has_ended
from brackenloft.obligations import STATED_S, PeerFacts

INFO_SIZE, BYTES_ACKED = 128, struct.Struct("=Q")
BYTES_ACKED_AT = 120  # struct tcp_info (Linux, tcp(7)): tcpi_bytes_acked
SAMPLE_S = 1.0  # between two samples


def bytes_acknowledged(sock: socket.socket) -> int | None:
    """Bytes that the peer's machine has acknowledged so far; None where the kernel does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_SIZE)
        count: int = BYTES_ACKED.unpack_from(info, BYTES_ACKED_AT)[0]
    except (OSError, AttributeError, struct.error):
        return None
    return count


class PeerHistory:
    """What a peer's machine has acknowledged, over the last ``STATED_S`` and a little more."""

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        self.samples: deque[tuple[float, int]] = deque()  # times by time.monotonic()

    def restart(self) -> None:
        """Something is owed to the peer again: what was before does not count."""
        self.samples.clear()

    def sample(self) -> None:
        """Look now, if the last look was some time ago."""
        now = time.monotonic()
        if self.samples and now - self.samples[-1][0] < SAMPLE_S:
            return
        count = bytes_acknowledged(self.socket)
        if count is None:
            return
        self.samples.append((now, count))
        while len(self.samples) > 1 and now - self.samples[1][0] >= STATED_S:
            self.samples.popleft()

    def facts(self) -> PeerFacts:
        """As they are now."""
        left, count = peer_has_ended(self.socket), bytes_acknowledged(self.socket)
        if count is None or not self.samples:
            return PeerFacts(left)
        since, before = self.samples[0]
        now = time.monotonic()
        unmoved = next((at for at, seen in self.samples if seen == count), now)
        return PeerFacts(left, count - before, now - since, now - unmoved, count)
