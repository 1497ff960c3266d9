"""Peers that close a connection which is not read, noticed all the same.

A transport whose reading is paused (backpressure) tells neither the peer's FIN nor a reset, and a FIN stands
behind whatever the peer had sent before. The kernel knows both at once: epoll's EPOLLRDHUP, which looks at
the connection's state and not at its bytes (epoll_ctl(2)). One descriptor beside the loop's own, made when
the first connection pauses, so that nobody who is read pays for it. Where there is no epoll nothing is
noticed before reading goes on.
"""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Generic, TypeVar

P = TypeVar("P")
log = logging.getLogger(__name__)


class Departures(Generic[P]):
    """The peers whose connections are paused; ``gone`` is told of each that closes one, once."""

    def __init__(self, loop: asyncio.AbstractEventLoop, gone: Callable[[P], None]) -> None:
        self.loop, self.gone = loop, gone
        self.poller: select.epoll | None = None
        self.descriptors: dict[P, int] = {}
        self.peers: dict[int, P] = {}

    def watch(self, peer: P, sock: socket.socket) -> None:
        """It is not read from now on."""
        if peer in self.descriptors or not hasattr(select, "epoll"):
            return
        if self.poller is None and not self._open():
            return
        assert self.poller
        descriptor = sock.fileno()
        with suppress(OSError, ValueError):
            self.poller.register(descriptor, select.EPOLLRDHUP)
            self.descriptors[peer], self.peers[descriptor] = descriptor, peer

    def _open(self) -> bool:
        """Whether there is a poller now; out of descriptors, the next pause tries again."""
        try:
            self.poller = select.epoll()
        except OSError as error:
            log.warning("closes of paused peers are not noticed: %r", error)
            return False
        self.loop.add_reader(self.poller.fileno(), self._look)
        return True

    def forget(self, peer: P) -> None:
        """It is read again, or closed."""
        descriptor = self.descriptors.pop(peer, -1)
        # A descriptor that was closed left the poller by itself, and may be another peer's by now.
        if self.poller and self.peers.get(descriptor) is peer:
            del self.peers[descriptor]
            with suppress(OSError, ValueError):
                self.poller.unregister(descriptor)

    def _look(self) -> None:
        assert self.poller
        for descriptor, _ in self.poller.poll(0):
            peer = self.peers.get(descriptor)
            if peer is not None:
                self.forget(peer)
                self.gone(peer)

    def close(self) -> None:
        """Watch nobody any more."""
        if self.poller:
            self.loop.remove_reader(self.poller.fileno())
            self.poller.close()
        self.poller = None
        self.descriptors.clear()
        self.peers.clear()
