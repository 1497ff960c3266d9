"""Slow clients in a process of their own.

``python slow_crowd.py PORT CLIENTS [AGAIN]``: AGAIN, and each connects again the moment it is cut off.
"""

import asyncio
import socket
import sys

import uvloop
from fakes import call, resp

LONG = 4 * 1024 * 1024  # bytes of a long body or value
PIECE, PAUSE_S = 2048, 0.25  # 8 KiB/s
AGAIN_S = 0.01
IDS_EACH = 1 << 20  # of one client's requests
LONG_FROM = 1 << 40  # ids from here on are answered with a long value


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
