"""Ports on loopback that are reserved until they are needed, against every other process of the machine."""

from __future__ import annotations

import errno
import random
import socket
import weakref

PORTS = (20_000, 32_000)  # below those that the system gives by itself
MOST_DRAWS = 1000
LOOPBACK = "127.0.0.1"

_reserved: list[ReservedPort] = []  # those of this process for as long as it lives


class ReservedPort:
    """A port that only sockets with SO_REUSEADDR can listen at, again and again, until this object has gone.

    It is held by a bound socket that never listens: connections to it are refused, the system gives it to no
    connection that goes out, and no other reservation draws it. Raises OSError if no port is left.
    """

    def __init__(self) -> None:
        holder = _bound()
        # Set behind the bind: two reservations exclude each other, a listener is let in.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.number: int = holder.getsockname()[1]
        weakref.finalize(self, holder.close)


def _bound() -> socket.socket:
    for _ in range(MOST_DRAWS):
        holder = socket.socket()
        try:
            holder.bind((LOOPBACK, random.SystemRandom().randrange(*PORTS)))
            return holder
        except OSError as error:
            holder.close()
            if error.errno != errno.EADDRINUSE:
                raise
    raise OSError(errno.EADDRINUSE, f"no port of {PORTS[0]} to {PORTS[1] - 1} is free")


def free_port() -> int:
    """A port that is this process's until it ends, to be listened at later, by a process of its own too."""
    reserved = ReservedPort()
    _reserved.append(reserved)
    return reserved.number


def free_ports(count: int) -> list[int]:
    """So many of them."""
    return [free_port() for _ in range(count)]
