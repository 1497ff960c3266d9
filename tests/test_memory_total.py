"""What a process and the kernel hold for hundreds of slow clients, together, against the process's limit."""

import asyncio
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from fakes import FakeServer, array, call, run
from slow_crowd import LONG, LONG_FROM
from test_memory_limit import KINDS
from test_net_process import ROOT, configured, connect, program, started

from brackenloft.lab.overload.memory import socket_bytes, status_bytes

pytestmark = [
    pytest.mark.trials,
    pytest.mark.skipif(not Path("/proc/self/status").exists(), reason="no /proc"),
]
MEGABYTE = 1 << 20
CLIENTS, DESCRIPTORS = 600, 1024
LEAST_MB = 32  # the least that the operators' pages name
USUAL = 100  # requests of usual clients, each on a connection of its own
STARTS, LOOKS = 3, 100  # of a process that is killed after so many looks
LOOK_S = 0.01  # between two looks at the memory
LOOKS_EACH = 5  # before the next usual request


@asynccontextmanager
async def crowd(port, *again):
    """Slow clients in a process of their own."""
    command = (sys.executable, ROOT / "tests" / "slow_crowd.py", str(port), str(CLIENTS), *again)
    process = await asyncio.create_subprocess_exec(*command, stderr=asyncio.subprocess.DEVNULL)
    try:
        yield
    finally:
        process.kill()
        await process.wait()


async def slow_and_usual_server():
    long = array(b"v" * LONG)
    return await FakeServer(lambda words: long if int(words[2], 16) >= LONG_FROM else array(b"v")).start()


async def ask_once(port, number):
    """A usual request on a connection of its own; its reply."""
    usual = await connect(port)
    try:
        return await usual.ask(call(number, wait=60_000))
    finally:
        usual.writer.close()


class Watch:
    """The most that a process and the kernel, in its sockets, have held together."""

    def __init__(self, pid, port, server):
        self.pid, self.port, self.servers_port, self.sockets, self.most = pid, port, server.port, 0, 0

    def look(self):
        now = socket_bytes(self.port) + socket_bytes(0, self.servers_port)
        self.sockets = max(self.sockets, now)
        self.most = max(self.most, status_bytes(self.pid, "VmRSS") + now, status_bytes(self.pid, "VmHWM"))


# Guards against a process that passes its limit by what the kernel holds for clients that read slowly.
@pytest.mark.parametrize("memory_mb", [192, 64, LEAST_MB])
def test_process_and_its_sockets_stay_within_the_memory_beside_slow_clients_that_come_again(
    tmp_path, memory_mb
):
    async def test():
        server = await slow_and_usual_server()
        limits = {"memory_mb": memory_mb, "sockets": DESCRIPTORS}
        async with program(tmp_path, server, KINDS, **limits) as (process, port, _):
            assert await (await connect(port)).ask(call(1)) == b"v"
            watch, asked = Watch(process.pid, port, server), []
            async with crowd(port, "again"):
                for number in range(2, 2 + USUAL):
                    asked.append(asyncio.ensure_future(ask_once(port, number)))
                    for _ in range(LOOKS_EACH):
                        watch.look()
                        await asyncio.sleep(LOOK_S)
                answers = await asyncio.gather(*asked)
                watch.look()
            assert watch.most < memory_mb * MEGABYTE, f"{watch.sockets} of it in sockets"
            assert process.returncode is None
            assert set(answers) <= {b"v", "-BUSY"} and answers.count(b"v") > USUAL // 2

    run(test())


# Guards against a process that passes its limit as a crowd comes back at once to one that has just begun.
def test_process_that_starts_again_and_again_under_slow_clients_stays_within_the_least_memory(tmp_path):
    async def test():
        server = await slow_and_usual_server()
        limits = {"memory_mb": LEAST_MB, "sockets": DESCRIPTORS}
        env, port, _ = await configured(tmp_path, server, KINDS, **limits)
        async with crowd(port, "again"):
            for _ in range(STARTS):
                async with started(env) as process:
                    await connect(port)
                    watch = Watch(process.pid, port, server)
                    for _ in range(LOOKS):
                        watch.look()
                        await asyncio.sleep(LOOK_S)
                    assert process.returncode is None
                    assert watch.most < LEAST_MB * MEGABYTE, f"{watch.sockets} of it in sockets"

    run(test())
