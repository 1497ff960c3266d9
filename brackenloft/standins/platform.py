"""The platform round real processes of one gateway: its configuration, its listener, its second address."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from brackenloft.standins.discovery import row
from brackenloft.standins.peer import Peer
from brackenloft.standins.ports import free_port

LOOK_S = 0.01  # between two looks whether a process is ready
Answer = tuple[int, dict[str, Any]]


class Platform:
    """Holds the clients' listener and starts processes beside each other."""

    def __init__(
        self,
        directory: Path,
        command: str,
        root: Path,
        settings: Mapping[str, Any],
        ports: Mapping[str, int],
        limits: Mapping[str, Any] | None = None,
    ) -> None:
        self.directory, self.command, self.root, self.settings = directory, command, root, settings
        self.ports = ports  # of the servers, by name
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | dict(limits or {})
        self.held = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.port: int = self.held.getsockname()[1]
        self.started: list[Process] = []

    async def connect(self) -> Peer:
        """A client."""
        return await Peer().open(self.port)

    async def start(self, ready: bool = True, **environment: str) -> Process:
        """One more process; waits for its yes."""
        process = Process(self, len(self.started))
        self.started.append(process)
        await process.start(environment)
        while ready and (await process.call("GET", "/-/ready"))[0] != 200:
            if process.process.returncode is not None:
                raise RuntimeError(f"exited with {process.process.returncode}")
            await asyncio.sleep(LOOK_S)
        return process

    async def close(self) -> None:
        """End what is left."""
        for each in self.started:
            if each.process.returncode is None:
                each.process.kill()
            await each.process.wait()
        self.held.close()


class Process:
    """One process of the gateway."""

    def __init__(self, platform: Platform, number: int) -> None:
        self.platform, self.number, self.admin = platform, number, free_port()
        self.process: asyncio.subprocess.Process

    async def start(self, environment: Mapping[str, str]) -> None:
        """Start it; it is ready later."""
        platform, fd = self.platform, self.platform.held.fileno()
        listen, path = f"127.0.0.1:{platform.port}", platform.directory / f"config-{self.number}.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": listen,
                    "discovery": "127.0.0.1:1",
                    "seed": "8c1f30d27a5be964",
                    "limits": platform.limits,
                    "settings": platform.settings,
                    "known": {
                        "generation": 1,
                        "reset": True,
                        "instances": [row(name, port) for name, port in platform.ports.items()],
                    },
                }
            )
        )
        env = {
            **os.environ,
            "EDGE_CONFIG": str(path),
            "EDGE_LISTEN": listen,
            "EDGE_ACCEPT_FD": str(fd),
            "TMPDIR": str(platform.directory),
            "EDGE_ADMIN": f"127.0.0.1:{self.admin}",
            **environment,
        }
        self.process = await asyncio.create_subprocess_shell(
            platform.command, cwd=platform.root, env=env, pass_fds=(fd,)
        )

    async def call(self, method: str, path: str) -> Answer:
        """A call of the second address; status 0 where nobody answers."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head, _, body = (await reader.read()).partition(b"\r\n\r\n")
            writer.close()
            return int(head.split()[1]), json.loads(body)
        except (OSError, IndexError, ValueError):
            return 0, {}

    async def replace(self) -> Process:
        """A process takes over from this one, which is ended once the new one has said yes."""
        heir = await self.platform.start()
        self.process.terminate()
        await self.process.wait()
        return heir

    def cpu_s(self) -> float:
        """Processor time so far, from /proc."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def ran_s(self) -> float:
        """Time on a processor so far, finer than ``cpu_s`` counts it."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def memory_mb(self) -> float:
        """Resident memory now."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * resource.getpagesize() / (1 << 20)


async def ask_on(platform: Platform, command: bytes, peer: Peer | None) -> tuple[Any, Peer, int]:
    """Ask as the platform's clients do: a connection that ends unread is no answer, and it is asked again.

    The answer, the connection for the next one, and how often the request was turned back.
    """
    turned_back = 0
    while True:
        if peer is None or peer.reader.at_eof():  # it ended while nothing was owed on it
            peer = await platform.connect()
        try:
            answer = await peer.ask(command)
        except (OSError, RuntimeError):  # the loop knows that it has ended, the client not yet
            answer = None
        if answer is not None:
            return answer, peer, turned_back
        peer, turned_back = None, turned_back + 1
