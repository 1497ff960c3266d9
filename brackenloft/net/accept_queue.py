"""Connections that were accepted and wait for memory, the most urgent first; who has left is dropped.

A peer that connects and goes again stays in the kernel's queue until it is accepted, one that says nothing is
owed nothing, and one that begins a long command could not be read on. Guards against crowds of these in front
of the peers that wait for an answer.
"""

from __future__ import annotations

import re
import select
import socket
import time
from collections.abc import Iterator
from contextlib import suppress
from enum import IntEnum

READABLE = select.POLLIN
# Where the system does not tell that a peer has left, it is noticed once the connection is read.
DEPARTED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR
PEEKED = 1024  # bytes of what has come, in which the length of a long body stands
LENGTH = re.compile(rb"\r\n\$([0-9]{5,7})\r\n")
LONG_WAIT_S = 0.8  # after which a long command is heard all the same: its client may wait no longer
OVERDUE_EACH = 4  # one in so many that are heard is overdue, while there are others


class Urgency(IntEnum):
    """Who goes first."""

    USUAL = 0  # has written what may be a usual command
    OVERDUE = 1  # has begun a long command, and waited for long
    LONG = 2  # has begun a long command
    SILENT = 3  # has written nothing


class AcceptQueue:
    """Sockets that nobody reads yet. ``longest_usual``: bytes of a command that is not long."""

    def __init__(self, longest_usual: int) -> None:
        self.longest_usual = longest_usual
        self.rows: dict[Urgency, dict[int, socket.socket]] = {urgency: {} for urgency in Urgency}
        self.began: dict[int, float] = {}  # by descriptor, of long commands, by time.monotonic()
        self.poll = select.poll()
        self.taken = 0

    def __len__(self) -> int:
        return sum(map(len, self.rows.values()))

    def add(self, sock: socket.socket) -> None:
        """One more, behind the others."""
        self.rows[Urgency.SILENT][sock.fileno()] = sock
        self.poll.register(sock, READABLE | DEPARTED)

    def departed(self) -> Iterator[socket.socket]:
        """Find out whose peers have written, and take out those whose peers have left."""
        now, silent = time.monotonic(), self.rows[Urgency.SILENT]
        for descriptor, events in self.poll.poll(0):
            if events & DEPARTED:
                yield self._take(descriptor)
            elif descriptor in silent:
                self._has_written(descriptor, now)
        for descriptor, began in list(self.began.items()):
            if now - began < LONG_WAIT_S:
                break
            self._move(descriptor, Urgency.OVERDUE)

    def _has_written(self, descriptor: int, now: float) -> None:
        sock = self.rows[Urgency.SILENT][descriptor]
        self.poll.modify(descriptor, DEPARTED)  # guards against being told of what it wrote again and again
        if self._begins_long(sock):
            self._move(descriptor, Urgency.LONG)
            self.began[descriptor] = now
        else:
            self._move(descriptor, Urgency.USUAL)

    def _begins_long(self, sock: socket.socket) -> bool:
        with suppress(OSError):
            lengths = LENGTH.findall(sock.recv(PEEKED, socket.MSG_PEEK))
            return any(int(length) > self.longest_usual for length in lengths)
        return False

    def _move(self, descriptor: int, urgency: Urgency) -> None:
        self.began.pop(descriptor, None)
        for row in self.rows.values():
            sock = row.pop(descriptor, None)
            if sock:
                self.rows[urgency][descriptor] = sock
                return

    @property
    def urgent(self) -> int:
        """How many have written what may be a usual command, or have waited for long."""
        return len(self.rows[Urgency.USUAL]) + len(self.rows[Urgency.OVERDUE])

    def next(self) -> socket.socket:
        """Take out the most urgent one. StopIteration: there is none."""
        self.taken += 1
        rows = list(self.rows.values())
        if self.taken % OVERDUE_EACH == 0:
            rows.insert(0, self.rows[Urgency.OVERDUE])
        return self._take(next(descriptor for row in rows for descriptor in row))

    def _take(self, descriptor: int) -> socket.socket:
        self.poll.unregister(descriptor)
        self.began.pop(descriptor, None)
        return next(sock for row in self.rows.values() if (sock := row.pop(descriptor, None)))
