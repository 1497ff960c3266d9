"""What the cases of the second review share: a gateway as the platform starts it, servers, clients, a record.

The gateway is the deploy file's ``run``, in a process of its own. Discovery is the project's stand-in agent;
servers and clients are small ones of this file. All of it is on loopback and goes by the real clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from brackenloft.standins.discovery import Agent, row
from brackenloft.standins.platform import free_port

ROOT = Path(__file__).resolve().parent.parent
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
READY_S = 20.0

# As the wire's page shows them, for a small deployment: two gateways, two rooms.
SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "client_habits": {"marks_retry": False},
    "contract": {
        "answer_slack_ms": 8.0,
        "drain_grace_ms": 1000.0,
        "fall_ms": 1000.0,
        "must_ask_in_ms": 10000.0,
        "start_capacity": 0.2,
        "tip_multiple": 2.5,
        "warm_up_ms": 16000.0,
    },
    "deductions": {"cross_zone": 0.005, "late_fail": 0.05, "probe": 0.01, "waste": 0.03},
    "discovery": "automatic",
    "family": "gate",
    "family_info": {
        "count_limit_ms": 0.0,
        "has_counter": False,
        "largest": 1,
        "meter_ms": 1000.0,
        "settles": False,
    },
    "kinds": ["std-3c"],
    "limits": {
        "attempts_cap": 4,
        "cancelling": True,
        "conn_idle_ms": 30000.0,
        "connect_timeout_ms": 250.0,
        "cpu_us_per_request": 0.0,
        "cpu_us_per_s": 454752,
        "max_retry_after_ms": 1000.0,
        "may_duplicate": False,
        "multiplex": 100,
        "open_cap": 22737,
        "peers": False,
        "probes": True,
        "retry_after": False,
    },
    "load_info": {"how": "answers", "names": ["busy", "q"]},
    "locality": "sala-a",
    "services": [
        {
            "effect": "safe",
            "hard_limit_ms": 5000.0,
            "key_scope": "all",
            "late_share": 0.0,
            "memory_span_ms": 5000.0,
            "name": "read-board",
            "slo_ms": 2000.0,
            "stream": False,
            "value": 1.0,
        },
        {
            "effect": "keyed",
            "hard_limit_ms": 3000.0,
            "key_scope": "zone",
            "late_share": 0.0,
            "memory_span_ms": 6000.0,
            "name": "post-notice",
            "slo_ms": 1000.0,
            "stream": False,
            "value": 2.0,
        },
        {
            "effect": "unsafe",
            "hard_limit_ms": 8000.0,
            "key_scope": "all",
            "late_share": 0.0,
            "memory_span_ms": 5000.0,
            "name": "buy-highlight",
            "slo_ms": 2000.0,
            "stream": False,
            "value": 3.0,
        },
    ],
    "slot_no": 0,
    "tariffs": [
        {
            "cap_depth": 0.0,
            "cap_rate": 0.0,
            "excess_worth": 0.0,
            "hard_slack": 0.0,
            "most_at_once": 10.0,
            "name": "cidade",
            "overrun_cost": 1.2,
            "parallel": 0,
            "refill": 2.1,
            "value_factor": 1.3,
        },
    ],
    "tick_ms": 2.0,
    "tier": 0,
    "tiers": ["mural-core"],
    "weight_kind": "nominal",
    "zones": ["sala-a", "sala-b"],
}


class NotRunError(Exception):
    """The case could not be played: no verdict."""


class Record:
    """``record.txt`` of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def note(self, text: str) -> None:
        """One line."""
        self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.file.flush()


# ---- What goes over the wire


def command(*words: bytes) -> bytes:
    """A command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def fields(kind: str, wait_ms: int, key: str = "") -> bytes:
    """The list of names and values of a request."""
    key = f",k={key}" if key else ""
    return f"c={kind},t=cidade,d={wait_ms}{key},units=1,spread=2,first=0".encode()


def read_board(request_id: bytes, wait_ms: int = 5000, customer: int = 0xB4D65521) -> bytes:
    """A request that is safe to repeat."""
    return command(b"CALL.GET", b"%016x" % customer, request_id, fields("read-board", wait_ms))


def post_notice(
    request_id: bytes, key: str, body: bytes, wait_ms: int = 3000, customer: int = 0xB4D65522
) -> bytes:
    """A keyed request."""
    return command(b"CALL.POST", b"%016x" % customer, request_id, fields("post-notice", wait_ms, key), body)


def buy_highlight(
    request_id: bytes, body: bytes = b"paid", wait_ms: int = 8000, customer: int = 0xB4D65523
) -> bytes:
    """A request that must never run twice."""
    return command(b"CALL.POST", b"%016x" % customer, request_id, fields("buy-highlight", wait_ms), body)


def answer(value: bytes) -> bytes:
    """A server's good answer, with no figures on use."""
    report = b"util=0.30,queue=0"
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)


class Conn:
    """A connection that a server stand-in has accepted, or a client's; reads RESP2 step by step."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int = 0) -> None:
        self.reader, self.writer, self.number = reader, writer, number

    async def header(self) -> bytes:
        """A line without its end; raises EOFError at the end of the connection."""
        line = await self.reader.readline()
        if not line.endswith(b"\r\n"):
            raise EOFError(line)
        return line[:-2]

    async def bulk(self) -> bytes:
        """A bulk string, whole."""
        head = await self.header()
        if not head.startswith(b"$"):
            raise ValueError(f"not the header of a string: {head!r:.60}")
        data = await self.reader.readexactly(int(head[1:]) + 2)
        return data[:-2]

    async def words(self, most: int = 99) -> tuple[int, list[bytes]]:
        """How many words a command has, and the first ``most`` of them."""
        head = await self.header()
        if not head.startswith(b"*"):
            raise ValueError(f"not the header of a command: {head!r:.60}")
        count = int(head[1:])
        return count, [await self.bulk() for _ in range(min(count, most))]

    async def reply(self) -> bytes | None:
        """A gateway's next answer: a value behind ``$``, or a line; None if the connection ended before."""
        try:
            head = await self.header()
            if not head.startswith(b"$"):
                return head
            return b"$" + (await self.reader.readexactly(int(head[1:]) + 2))[:-2]
        except (EOFError, OSError, asyncio.IncompleteReadError):
            return None

    def reset(self) -> None:
        """End it as a process does that dies: with a reset."""
        sock = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.writer.transport.abort()

    def close(self) -> None:
        """End it."""
        self.writer.close()


Behaviour = Callable[["Server", Conn], Awaitable[None]]


class Server:
    """A board node; ``behave`` serves one connection until it raises or returns."""

    def __init__(self, name: str, zone: str, behave: Behaviour, record: Record) -> None:
        self.name, self.zone, self.behave, self.record = name, zone, behave, record
        self.accepted = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self) -> Server:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 16)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self.tasks.add(task)
        self.accepted += 1
        try:
            await self.behave(self, Conn(reader, writer, self.accepted))
        except (EOFError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def row(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return row(self.name, self.port, zone=self.zone, kind="std-3c")

    def close(self) -> None:
        """Listen no more."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Gateway:
    """One process of the deploy file's ``run``."""

    def __init__(
        self,
        folder: Path,
        record: Record,
        settings: dict[str, Any],
        memory_mb: int = 192,
        sockets: int = 1024,
    ) -> None:
        self.folder, self.record, self.settings, self.memory_mb = folder, record, settings, memory_mb
        self.sockets = sockets
        self.port, self.admin = free_port(), free_port()
        self.agent = Agent()

    async def start(self, servers: list[Server]) -> Gateway:
        """Start it with these servers, and wait until it says that it serves."""
        await self.agent.start()
        await self.agent.put(*(server.row() for server in servers))
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": {"generation": 1, "reset": True, "instances": [server.row() for server in servers]},
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        environment |= {
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(path),
            "EDGE_ADMIN": f"127.0.0.1:{self.admin}",
            "TMPDIR": str(temporary),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log = (self.folder / "gateway.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise NotRunError(f"the gateway has ended with {self.process.returncode}")
            with contextlib.suppress(OSError):
                client = await self.connect()
                client.writer.write(command(b"PING"))
                said = await client.reply()
                client.close()
                if said == b"+PONG":
                    self.record.note(f"gateway {self.process.pid} is ready")
                    return self
            await asyncio.sleep(0.05)
        raise NotRunError("the gateway was not ready in time")

    async def connect(self) -> Conn:
        """A client's connection."""
        return Conn(*await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 23))

    def signal(self, number: signal.Signals) -> None:
        """A signal to the program that ``run`` started."""
        self.record.note(f"{number.name} to the gateway")
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End what is left."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.agent.close()
        self.log.close()

    def log_lines(self) -> list[str]:
        """What the process has written."""
        return (self.folder / "gateway.log").read_text(errors="replace").splitlines()


Play = Callable[[Record, Path], Awaitable[bool]]


def main(play: Play, file: str, limit_s: float = 100.0) -> None:
    """Play a case: exit with 1 if its rule was broken, with 0 if it held, with 2 if it could not run."""
    record = Record(Path(file).resolve().parent)
    record.note("with trouble" if TROUBLE else "without trouble")
    code = NOT_RUN
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            kept = asyncio.run(asyncio.wait_for(play(record, Path(folder)), limit_s))
            code = HELD if kept else BROKEN
        except Exception as error:  # whatever it is, the case gives no verdict
            record.note(f"could not run: {type(error).__name__}: {error}")
    record.note({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "no verdict"}[code])
    sys.exit(code)
