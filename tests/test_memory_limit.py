"""A process with a limit on its memory beside hundreds of clients that would each fill a part of it."""

import asyncio
import random
import socket
from pathlib import Path

import pytest
from fakes import FakeServer, array, call, resp, run
from test_net_process import SETTINGS, connect, program

pytestmark = [
    pytest.mark.trials,
    pytest.mark.skipif(not Path("/proc/self/status").exists(), reason="no /proc"),
]
MEMORY_MB, CLIENTS, USUAL = 32, 400, 150
LONG = 4 * 1024 * 1024
KINDS = {
    **SETTINGS,
    "services": [
        *SETTINGS["services"],
        {**SETTINGS["services"][0], "name": "buy", "effect": "unsafe"},
    ],
}


def anonymous_mb(pid: int) -> float:
    """Memory that is the process's alone."""
    return int(Path(f"/proc/{pid}/status").read_text().split("RssAnon:")[1].split()[0]) / 1024.0


class Client:
    """A socket with a small receive buffer."""

    def __init__(self, number: int, port: int) -> None:
        self.number, self.port = number, port
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        self.socket.setblocking(False)

    async def play(self, behave) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(self.socket, ("127.0.0.1", self.port))
            await behave(loop, self.socket, self.number)
            await asyncio.Event().wait()  # it stays
        except OSError:
            pass  # it was cut off
        finally:
            self.socket.close()


async def stop_half_way(loop, sock, number):
    """Half of a large request."""
    await loop.sock_sendall(sock, call(number, "buy", body=b"b" * LONG, wait=60_000)[: LONG // 2])


async def write_slowly(loop, sock, number):
    """A large request in small pieces, a little above the least rate."""
    text = memoryview(call(number, "buy", body=b"b" * LONG, wait=60_000))
    for start in range(0, len(text), 2048):
        await loop.sock_sendall(sock, text[start : start + 2048])
        await asyncio.sleep(0.1)


async def many_short_fields(loop, sock, number):
    """Unsound commands, then the head of a large request whose list is as long as may be, of short fields."""
    fields = b",".join(b"%c%c=1" % (65 + place % 26, 65 + place // 26) for place in range(100))
    head = resp("CALL.POST", f"{number:016x}", f"{number:016x}", fields).replace(b"*4", b"*5")
    await loop.sock_sendall(sock, resp("x") * 10 + head + b"$%d\r\n" % LONG + b"y" * 100_000)


async def read_slowly(loop, sock, number):
    """A long answer, a little above the least rate."""
    await loop.sock_sendall(sock, call(number + LONG))
    while await loop.sock_recv(sock, 2048):
        await asyncio.sleep(0.1)


async def pipeline_behind_a_long_answer(loop, sock, number):
    """Thousands of small commands behind a long answer that is not read."""
    await loop.sock_sendall(sock, call(number + LONG) + resp("PING") * 5000)


async def post_again_and_again(loop, sock, number):
    """Large requests, one after the other."""
    for again in range(CLIENTS + USUAL, 1 << 20, CLIENTS):  # ids of their own, each once
        await asyncio.sleep(random.Random(number).random() * 10.0)
        await loop.sock_sendall(sock, call(number + again, "buy", body=b"b" * LONG, wait=60_000))
        await loop.sock_recv(sock, 2048)


BEHAVIOURS = (
    stop_half_way,
    write_slowly,
    many_short_fields,
    read_slowly,
    pipeline_behind_a_long_answer,
    post_again_and_again,
)


async def mixed(loop, sock, number):
    """All of these beside each other."""
    await BEHAVIOURS[number % len(BEHAVIOURS)](loop, sock, number)


# Guards against a process that passes its limit on memory and is killed, with what it held.
@pytest.mark.parametrize("behave", [*BEHAVIOURS, mixed])
def test_hundreds_of_slow_and_rude_clients_do_not_take_a_process_beyond_its_memory(tmp_path, behave):
    async def test():
        long = array(b"v" * LONG)
        server = await FakeServer(lambda words: long if int(words[2], 16) >= LONG else array(b"v")).start()
        limits = {"memory_mb": MEMORY_MB, "sockets": 1024}
        async with program(tmp_path, server, KINDS, **limits) as (process, port, _):
            usual = await connect(port)
            assert await usual.ask(call(1)) == b"v"
            rude = [asyncio.ensure_future(Client(number, port).play(behave)) for number in range(2, CLIENTS)]
            answers, most = [], 0.0
            for number in range(CLIENTS, CLIENTS + USUAL):
                usual = await connect(port)
                answers.append(await usual.ask(call(number, wait=60_000)))
                usual.writer.close()
                most = max(most, anonymous_mb(process.pid))
                await asyncio.sleep(0.02)
            for one in rude:
                one.cancel()
            await asyncio.gather(*rude, return_exceptions=True)
            assert most < MEMORY_MB and process.returncode is None
            assert set(answers) <= {b"v", "-BUSY"} and answers.count(b"v") > USUAL // 2

    run(test())
