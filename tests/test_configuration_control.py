"""``brackenloft control`` as processes: stores, control servers, kills, restarts and wrong files."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tomllib
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import pytest
from control_cluster import document, follower, plans, tenants
from fakes import run

from brackenloft.cli import main
from brackenloft.config import ConfigError
from brackenloft.configuration import codec, server_config
from brackenloft.configuration.messages import (
    FOLLOW_PATH,
    PUBLISH_PATH,
    STATUS_PATH,
    FollowAnswer,
    FollowRequest,
    PublishAnswer,
    Published,
    PublishRequest,
    ServerStatus,
    SnapshotOffer,
    Unchanged,
)
from brackenloft.configuration.tree import Tree
from brackenloft.fleet.registers import enrol
from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.members import Members
from brackenloft.fleet.registers.registers import Registers
from brackenloft.fleet.registers.store import Store
from brackenloft.standins.counter import Counter
from brackenloft.standins.ports import free_ports

ROOT = Path(__file__).parent.parent
EXAMPLE = ROOT / "deploy" / "control.toml"
EMPTY = Tree.empty().digest


class Machines:
    """Stores within the test, control servers as processes of their own."""

    def __init__(self, folder, count):
        self.folder, self.ports = folder, free_ports(count)
        self.processes = [None] * count

    def write(self, stores):
        for number, port in enumerate(self.ports):
            peers = [
                {"name": f"c{n}", "url": f"http://127.0.0.1:{other}", "region": f"r{n // 2}"}
                for n, other in enumerate(self.ports)
                if n != number
            ]
            document = {
                "name": f"c{number}", "region": f"r{number // 2}", "listen": f"127.0.0.1:{port}",
                "data": str(self.folder / f"c{number}"), "stores": stores, "peers": peers, "poll_ms": 100.0,
            }  # fmt: skip
            (self.folder / f"c{number}.json").write_text(json.dumps(document))

    async def start(self, *numbers):
        for number in numbers or range(len(self.ports)):
            self.processes[number] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "brackenloft.cli", "control", "--config",
                str(self.folder / f"c{number}.json"), stderr=asyncio.subprocess.PIPE, cwd=ROOT,
                env=os.environ | {"PYTHONPATH": str(ROOT)},
            )  # fmt: skip
        for number in numbers or range(len(self.ports)):
            while True:
                line = json.loads(await self.processes[number].stderr.readline())
                if line["event"] == "control server":
                    break

    async def end(self, number, how=signal.SIGKILL):
        process, self.processes[number] = self.processes[number], None
        if process:
            process.send_signal(how)
            await process.stderr.read()
            return await process.wait()

    async def post(self, number, path, message, kind):
        url = f"http://127.0.0.1:{self.ports[number]}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=codec.encode(message)) as answer,
        ):
            return codec.decode(await answer.read(), kind)

    async def publish(self, number, delta):
        return await self.post(number, PUBLISH_PATH, PublishRequest(delta), PublishAnswer)

    async def follow(self, number, request):
        return await self.post(number, FOLLOW_PATH, request, FollowAnswer)

    async def reach(self, number, revision):
        while (await self.post(number, STATUS_PATH, None, ServerStatus)).standing < revision:
            await asyncio.sleep(0.05)


@asynccontextmanager
async def machines(folder, count=6):
    """Stores that are set up, and control servers that listen."""
    counters = [Counter() for _ in range(3)]
    made = Machines(folder, count)
    try:
        for counter in counters:
            await counter.start()
        urls = {f"s{n}": f"redis://127.0.0.1:{counter.port}" for n, counter in enumerate(counters)}
        stores = {name: Store(url, "fleet", 1.0) for name, url in urls.items()}
        registers = Registers(stores, Members(0, 0, ()), "test.1")
        await enrol.found(registers, places.first(urls, 0, "a"))
        await registers.close()
        made.write([{"name": name, "url": url} for name, url in urls.items()])
        await made.start()
        yield made
    finally:
        for number in range(count):
            await made.end(number)
        for counter in counters:
            counter.kill()


def test_processes_publish_are_stopped_and_killed_and_go_on_from_their_disks(tmp_path):
    async def test():
        async with machines(tmp_path, 3) as servers:
            first = await servers.publish(0, document(3000))
            assert isinstance(first, Published)
            servers.processes[1].send_signal(signal.SIGSTOP)
            second = await servers.publish(2, plans(1, "lead"))
            assert isinstance(second, Published)
            servers.processes[1].send_signal(signal.SIGCONT)
            await servers.reach(1, 2)
            for number in range(3):
                await servers.end(number)
            await servers.start()
            for number in range(3):
                await servers.reach(number, 2)
            third = await servers.publish(1, tenants(2, 10, "lead"))
            assert isinstance(third, Published) and third.revision == 3
            await servers.reach(2, 3)
            offer = await servers.follow(2, FollowRequest(follower(), 0, EMPTY))
            assert isinstance(offer, SnapshotOffer) and offer.digest == third.digest

    run(test())


def test_sigterm_answers_those_that_wait_and_ends_cleanly(tmp_path):
    async def test():
        async with machines(tmp_path, 1) as servers:
            published = await servers.publish(0, plans(0, "gold"))
            request = FollowRequest(follower(), 1, published.digest, 30_000)
            poll = asyncio.create_task(servers.follow(0, request))
            url = f"http://127.0.0.1:{servers.ports[0]}/metrics"
            async with aiohttp.ClientSession() as session:
                while True:
                    async with session.get(url) as answer:
                        if "waiting_polls 1.0" in await answer.text():
                            break
            assert await servers.end(0, signal.SIGTERM) == 0
            assert isinstance(await poll, Unchanged)

    run(test())


def test_the_example_is_good_and_no_default_is_left_out_of_it():
    config = server_config.load(EXAMPLE)
    assert config.servers == 6 and config.copies_needed == 4
    assert config.bounds == server_config.Bounds()


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (("copies", 3), "copies"),
        (("copies", 7), "copies"),
        (("name", "c1"), "peers"),
        (("region", ""), "region"),
        (("listen", "nowhere"), "listen"),
        (("stores", [{"name": "s0", "url": "redis://a"}]), "stores"),
        (("poll_ms", 0.0), "poll_ms"),
        (("bounds", {"waiting": 0}), "waiting"),
        (("bounds", {"snapshots_per_s": 0.0}), "snapshots_per_s"),
        (("peers", [{"name": "c9", "url": "ftp://x"}]), "url"),
        (("pol_ms", 1.0), "poll_ms is meant"),
        (("data", ""), "data"),
    ],
)
def test_a_wrong_file_is_refused_by_its_key(tmp_path, change, said, capsys):
    table = tomllib.loads(EXAMPLE.read_text()) | dict([change])
    path = tmp_path / "control.json"
    path.write_text(json.dumps(table))
    with pytest.raises(ConfigError, match=said):
        server_config.load(path)
    assert main(["control", "--config", str(path)]) == 2
    assert said in capsys.readouterr().err


def test_bare_run_imports_none_of_it():
    code = (
        "import sys, brackenloft.__main__, brackenloft.cli; "
        "print([name for name in sys.modules if 'configuration' in name or name in ('aiohttp', 'blake3')])"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert found.stdout.strip() == "[]"
