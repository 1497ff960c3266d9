"""Slow clients in a process of their own, and what the kernel holds in the sockets of a port.

``python slow_crowd.py PORT CLIENTS [AGAIN]``: AGAIN, and each connects again the moment it is cut off.
"""

import asyncio
import socket
import struct
import sys
from pathlib import Path

import uvloop
from fakes import call, resp

LONG = 4 * 1024 * 1024  # bytes of a long body or value
PIECE, PAUSE_S = 2048, 0.25  # 8 KiB/s
AGAIN_S = 0.01
IDS_EACH = 1 << 20  # of one client's requests
LONG_FROM = 1 << 40  # ids from here on are answered with a long value

NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY, DUMP, DONE = 4, 20, 0x301, 3  # linux/sock_diag.h, linux/netlink.h
MEMORY_INFO, LISTENS = 7, 10  # INET_DIAG_SKMEMINFO of linux/inet_diag.h; TCP_LISTEN
HEADER, DIAG_HEADER, STATE_AT = 16, 72, 17  # bytes: of a message, of struct inet_diag_msg, of its state
RECEIVED_AT, QUEUED_AT = 0, 5  # in sk_meminfo: bytes not read yet, bytes written and not acknowledged


def socket_bytes(port: int, peers_port: int = 0) -> int:
    """Bytes that the kernel holds in the TCP sockets of a port, or of those connected to one; 0 for any.

    Sockets that listen hold none.
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
            return figures[RECEIVED_AT] + figures[QUEUED_AT]
        place += (size + 3) & ~3
    return 0


def status_bytes(pid: int, field: str) -> int:
    """A figure of /proc/PID/status; 0 once the process has ended."""
    try:
        return int(Path(f"/proc/{pid}/status").read_text().split(f"{field}:")[1].split()[0]) * 1024
    except (OSError, IndexError):
        return 0


async def post_slowly(loop, sock, number):
    """A large request, in small pieces."""
    text = memoryview(call(number, "buy", body=b"b" * LONG, wait=60_000))
    for start in range(0, len(text), PIECE):
        await loop.sock_sendall(sock, text[start : start + PIECE])
        await asyncio.sleep(PAUSE_S)


async def stop_half_way(loop, sock, number):
    """Half of a large request."""
    await loop.sock_sendall(sock, call(number, "buy", body=b"b" * LONG, wait=60_000)[: LONG // 2])


async def many_short_fields(loop, sock, number):
    """The head of a large request with as many short fields as it may have, and the beginning of its body."""
    fields = b",".join(b"%c%c=1" % (65 + place % 26, 65 + place // 26) for place in range(100))
    head = resp("CALL.POST", f"{number:016x}", f"{number:016x}", fields).replace(b"*4", b"*5")
    await loop.sock_sendall(sock, resp("x") * 10 + head + b"$%d\r\n" % LONG + b"y" * 100_000)


async def read_slowly(loop, sock, number):
    """A long value."""
    await loop.sock_sendall(sock, call(number + LONG_FROM, wait=60_000))
    while await loop.sock_recv(sock, PIECE):
        await asyncio.sleep(PAUSE_S)


KINDS = (post_slowly, stop_half_way, many_short_fields, read_slowly)


async def client(number: int, port: int, again: bool) -> None:
    """One client, of the kind that its number says."""
    loop = asyncio.get_running_loop()
    for request_id in range(number * IDS_EACH, (number + 1) * IDS_EACH):
        with socket.socket() as sock:
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, ("127.0.0.1", port))
                await KINDS[number % len(KINDS)](loop, sock, request_id)
                while await loop.sock_recv(sock, PIECE):
                    pass
            except OSError:
                pass
        if not again:
            return
        await asyncio.sleep(AGAIN_S)


async def main(port: int, clients: int, again: bool) -> None:
    """All of them beside each other."""
    await asyncio.gather(*(client(number, port, again) for number in range(1, clients + 1)))


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]), int(sys.argv[2]), len(sys.argv) > 3))
