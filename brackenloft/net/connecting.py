"""Connecting a socket without a name look-up.

``loop.sock_connect`` of uvloop resolves every address in a thread, numeric ones too. Where that thread gets
no processor in time, a server that was never asked would be blamed for it.
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket

from brackenloft.net.address import Address

IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EALREADY)


async def connect(loop: asyncio.AbstractEventLoop, sock: socket.socket, address: Address) -> None:
    """Connect a non-blocking IPv4 socket; OSError if that fails. Only a host that is a name is looked up."""
    if not is_numeric(address[0]):
        await loop.sock_connect(sock, address)
        return
    error = sock.connect_ex(address)
    if error in IN_PROGRESS:
        await _writable(loop, sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, f"connect to {address[0]}:{address[1]}: {os.strerror(error)}")


def is_numeric(host: str) -> bool:
    """Whether a host is an IPv4 address."""
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True


async def _writable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Wait until the kernel tells what came of a connect."""
    waiter = loop.create_future()
    loop.add_writer(sock, _set_done, waiter)
    try:
        await waiter
    finally:
        loop.remove_writer(sock)


def _set_done(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
