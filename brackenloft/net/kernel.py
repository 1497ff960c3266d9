"""What the kernel knows of a socket and its transport does not tell."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
from contextlib import suppress

MOST_AGE_MS = 60_000  # more than any client waits: not to be believed
MOST_WAITING = 1 << 16  # more than a listener's queue holds
INFO_SIZE, INFO_UNACKED, INFO_LAST_DATA, INFO_NUMBER = 104, 24, 52, struct.Struct("=I")
OUT_QUEUE = struct.Struct("=i")
SO_MEMINFO, MEMORY = 55, struct.Struct("=II")  # asm-generic/socket.h
WINDOW_PARTS = 4  # of the receive queue's limit, one of which is taken before the window closes for sure


def bound_buffers(sock: socket.socket, size: int) -> None:
    """Bound what the kernel holds of a socket in each direction to about twice the size, in bytes.

    socket(7): SO_RCVBUF, SO_SNDBUF. Set before a connection comes up, on its socket or on the one that
    listens: a receive buffer that is made smaller later leaves a window that stalls.
    """
    with suppress(OSError):  # it can be served without
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def peer_name(sock: socket.socket) -> str:
    """The peer's address, for the log."""
    try:
        host, port = sock.getpeername()
    except (OSError, ValueError):  # it has left, or is of another family
        return "a client"
    return f"{host}:{port}"


def age_s(sock: socket.socket) -> float:
    """How long what came last has lain in the kernel; 0 where that can't be told.

    From struct tcp_info (Linux, tcp(7)): tcpi_last_data_recv, milliseconds.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_SIZE)
        age_ms: int = INFO_NUMBER.unpack_from(info, INFO_LAST_DATA)[0]
    except (OSError, AttributeError, struct.error):
        return 0.0
    return age_ms / 1000.0 if age_ms <= MOST_AGE_MS else 0.0


def waiting_connections(listener: socket.socket) -> int:
    """Connections that wait to be accepted; ``MOST_WAITING`` where that can't be told.

    From struct tcp_info of a socket that listens: tcpi_unacked.
    """
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_SIZE)
        count: int = INFO_NUMBER.unpack_from(info, INFO_UNACKED)[0]
    except (OSError, AttributeError, struct.error):
        return MOST_WAITING
    return count


def unread(sock: socket.socket) -> bool:
    """Whether something has come that was not read yet."""
    with suppress(OSError):
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    return False


def end_unless_unread(sock: socket.socket, how: int) -> bool:
    """Shut a connection down (``socket.SHUT_WR`` or ``SHUT_RDWR``) unless something has come unread.

    Whether it was. The act follows its check with no turn of the loop between them, and takes place at once.
    Guards against a request that comes in between: a transport ends a connection a turn of the loop later.
    """
    if unread(sock):
        return False
    shut_down(sock, how)
    return True


def shut_down(sock: socket.socket, how: int) -> None:
    """Shut a connection down now; one that has been reset is left as it is."""
    with suppress(OSError):
        sock.shutdown(how)


def may_hide_end(sock: socket.socket) -> bool:
    """Whether unread bytes may keep the peer's end from coming: its window is, or may be, closed.

    Linux, SO_MEMINFO of socket(7): bytes that the receive queue takes, and its limit. The window closes at
    about half of that. False where that can't be told.
    """
    try:
        info = sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMORY.size)
        taken, limit = MEMORY.unpack(info)
    except (OSError, struct.error):  # closed here already, or no such option on this system
        return False
    return bool(taken * WINDOW_PARTS >= limit)


def has_gone(sock: socket.socket) -> bool:
    """Whether the peer has closed it, or it was reset, also behind bytes that are not read yet."""
    if not hasattr(select, "POLLRDHUP"):
        return False
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
    except (OSError, ValueError):  # closed here already
        return True
    return bool(poll.poll(0))


def peer_has_ended(sock: socket.socket) -> bool:
    """Whether the kernel has the peer's end of an open connection, or a reset; False where it can't tell."""
    poll = select.poll()
    try:
        poll.register(sock, getattr(select, "POLLRDHUP", 0))
    except (OSError, ValueError):  # closed here already
        return False
    return any(not events & select.POLLNVAL for _, events in poll.poll(0))


def unacknowledged(sock: socket.socket) -> int:
    """Bytes written, an end among them, that the peer has not acknowledged; 0 where that can't be told.

    Linux, tcp(7): SIOCOUTQ, which has the number of TIOCOUTQ.
    """
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(OUT_QUEUE.size))
    except (OSError, ValueError):  # closed here already, or no such call on this system
        return 0
    size: int = OUT_QUEUE.unpack(answer)[0]
    return size
