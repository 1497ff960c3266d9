"""Handing a connected socket to a transport of the loop, which alone closes its descriptor from then on."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable


async def hand_over(
    loop: asyncio.AbstractEventLoop, make: Callable[[], asyncio.BaseProtocol], sock: socket.socket
) -> None:
    """Have a transport take over the descriptor; if none does, it is closed.

    ``connect_accepted_socket`` binds the socket object to the transport in the step in which that takes the
    descriptor, so that the object forgets the number as the transport closes it. uvloop's
    ``create_connection(sock=...)`` binds it a turn later, when the transport may have closed it already: the
    object would close the number once more, and that may be another connection's by then.

    Raises OSError, or RuntimeError where the transport ended before it was connected.
    """
    try:
        await loop.connect_accepted_socket(make, sock)
    except BaseException:
        sock.close()  # without effect if a transport had the descriptor
        raise
