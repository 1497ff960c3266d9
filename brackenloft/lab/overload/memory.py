"""What a process and the kernel, in its sockets, hold: from /proc and the kernel's socket diagnosis."""

from __future__ import annotations

import socket
import struct
from pathlib import Path

NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY, DUMP, DONE = 4, 20, 0x301, 3  # linux/sock_diag.h, linux/netlink.h
MEMORY_INFO, LISTENS = 7, 10  # INET_DIAG_SKMEMINFO of linux/inet_diag.h; TCP_LISTEN
HEADER, DIAG_HEADER, STATE_AT = 16, 72, 17  # bytes: of a message, of struct inet_diag_msg, of its state
RECEIVED_AT, QUEUED_AT = 0, 5  # in sk_meminfo: bytes not read yet, bytes written and not acknowledged


def socket_bytes(port: int, peers_port: int = 0) -> int:
    """Bytes that the kernel holds in the TCP sockets of a port, or of those connected to one; 0 for any.

    Sockets that listen hold none. OSError: the kernel gives no diagnosis.
    """
    wanted = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 1 << (MEMORY_INFO - 1), 0, 0xFFFFFFFF)
    wanted += struct.pack("!HH", port, peers_port) + bytes(36) + b"\xff" * 8
    total = 0
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as netlink:
        netlink.send(struct.pack("=IHHII", HEADER + len(wanted), SOCK_DIAG_BY_FAMILY, DUMP, 1, 0) + wanted)
        while True:
            data, place = netlink.recv(1 << 16), 0
            while place < len(data):
                size, kind = struct.unpack_from("=IH", data, place)
                if kind == DONE:
                    return total
                if data[place + STATE_AT] != LISTENS:
                    total += _memory(data, place + HEADER + DIAG_HEADER, place + size)
                place += (size + 3) & ~3


def _memory(data: bytes, place: int, end: int) -> int:
    while place < end:
        size, kind = struct.unpack_from("=HH", data, place)
        if kind == MEMORY_INFO:
            figures = struct.unpack_from("=9I", data, place + 4)
            return int(figures[RECEIVED_AT] + figures[QUEUED_AT])
        place += (size + 3) & ~3
    return 0


def status_bytes(pid: int, field: str) -> int:
    """A figure of /proc/PID/status; 0 once the process has ended."""
    try:
        return int(Path(f"/proc/{pid}/status").read_text().split(f"{field}:")[1].split()[0]) * 1024
    except (OSError, IndexError):
        return 0
