"""The stand-in registry against a client that nobody here wrote, and that client's entry at our gateway."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path

from fakes import run, until
from other_client import NAME
from registry import APP, fleet, many

from brackenloft.edge import Served


class Theirs:
    """Their client, in a process of its own."""

    async def start(self, url: str, port: int) -> "Theirs":
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).parent / "other_client.py"),
            url,
            str(port),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        return self

    async def do(self, *words: str):
        self.process.stdin.write((" ".join(words) + "\n").encode())
        return json.loads(await self.process.stdout.readline())

    async def close(self) -> None:
        self.process.stdin.close()
        await self.process.wait()


def test_a_client_that_nobody_here_wrote_agrees_with_the_stand_in_and_with_us():
    async def test():
        async with fleet("a") as world:
            world.book.cancel(APP, "a")
            port = world.boards["a"].port
            theirs = await Theirs().start(world.skin.url + "/", port)
            assert await theirs.do("start") == "done"
            await until(lambda: world.ready() == {NAME})
            assert any(isinstance(answer, Served) for answer in await many(world))  # it is cold
            (node,) = world.members.merge.nodes.values()
            assert node.entry.cell == 7 and node.entry.started_ms > 0.0
            renewed = len(world.book.renewals)
            await until(lambda: len(world.book.renewals) > renewed)

            assert await theirs.do("apps") == {
                "count": world.book.hashcode(),
                "instances": {NAME: [port, True, "7"]},
            }
            assert (await theirs.do("vip"))["instances"] == {NAME: [port, True, "7"]}
            assert (await theirs.do("delta"))["instances"][NAME] == [port, True, "7"]
            dirty = str(world.book.leases[APP, NAME].info["lastDirtyTimestamp"])
            assert await theirs.do("out", dirty) == "done"
            await until(lambda: world.ready() == set())
            assert await theirs.do("in", dirty) == "done"
            await until(lambda: world.ready() == {NAME})
            assert await theirs.do("stop") == "done"
            await until(lambda: not world.members.merge.nodes)
            await theirs.close()

    run(test())
