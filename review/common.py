"""What the cases share: the gateway's processes, a server, a discovery agent, clients and the record.

Everything listens on loopback addresses and free ports. The agent is the project's own stand-in, as in
PROTOCOL's section on discovery; the rest is written here.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from brackenloft.standins.discovery import Agent
from brackenloft.standins.platform import free_port

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 115.0  # of a whole case
READY_S = 30.0  # for a gateway to say PONG, by STANDING
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not be played; it says nothing of the rule."""


# ---- The record


class Record:
    """``record.txt`` of a case: what was sent, answered and run, by seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.note(f"TROUBLE={1 if TROUBLE else 0}")

    def note(self, text: str) -> None:
        """One line."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """One line, on standard output too."""
        self.note(text)
        print(text, flush=True)


# ---- The gateway's settings and processes


def service(name: str, effect: str, aim_ms: float, deadline_ms: float, **more: Any) -> dict[str, Any]:
    """A class of requests, in the settings' form."""
    return {
        "name": name,
        "slo_ms": aim_ms,
        "hard_limit_ms": deadline_ms,
        "effect": effect,
        "value": 1.0,
        "late_share": 0.0,
        "key_scope": "all",
        "memory_span_ms": 5000.0,
        "stream": False,
    } | more


def tariff(name: str, **more: Any) -> dict[str, Any]:
    """A plan, without a quota unless ``more`` says so."""
    return {
        "name": name,
        "refill": 0.0,
        "most_at_once": 0.0,
        "parallel": 0,
        "value_factor": 1.0,
        "excess_worth": 0.0,
        "overrun_cost": 1.0,
        "cap_rate": 0.0,
        "cap_depth": 0.0,
        "hard_slack": 0.0,
    } | more


# The classes of the site file.
SERVICES = (
    service("read-board", "safe", 2000.0, 5000.0, value=1.0),
    service("post-notice", "keyed", 1000.0, 3000.0, value=2.0, key_scope="zone", memory_span_ms=6000.0),
    service("buy-highlight", "unsafe", 2000.0, 8000.0, value=3.0),
)


def settings(
    services: tuple[dict[str, Any], ...] = SERVICES,
    tariffs: tuple[dict[str, Any], ...] = (tariff("free"),),
    gateways: int = 1,
    number: int = 0,
    **limits: Any,
) -> dict[str, Any]:
    """The settings of one gateway, with the figures of WIRE's example where nothing else is said."""
    return {
        "balancers": gateways,
        "slot_no": number,
        "locality": "sala-a",
        "discovery": "automatic",
        "tick_ms": 2.0,
        "services": list(services),
        "tariffs": list(tariffs),
        "limits": {
            "attempts_cap": 4,
            "may_duplicate": False,
            "cancelling": True,
            "probes": True,
            "peers": False,
            "retry_after": False,
            "open_cap": 22737,
            "connect_timeout_ms": 250.0,
            "conn_idle_ms": 30000.0,
            "max_retry_after_ms": 1000.0,
        }
        | limits,
        "contract": {
            "answer_slack_ms": 8.0,
            "drain_grace_ms": 1000.0,
            "start_capacity": 0.2,
            "warm_up_ms": 16000.0,
            "tip_multiple": 2.5,
            "fall_ms": 1000.0,
            "must_ask_in_ms": 10000.0,
        },
        "load_info": {"how": "answers", "names": ["busy", "q"]},
        "family_info": {
            "meter_ms": 1000.0,
            "largest": 1,
            "settles": False,
            "has_counter": False,
            "count_limit_ms": 0.0,
        },
        "deductions": {"cross_zone": 0.005},
    }


class Gateway:
    """One gateway: its agent of discovery, its configuration, its processes by the deploy file's ``run``."""

    def __init__(self, case: Case, number: int, its_settings: dict[str, Any], **limits: Any) -> None:
        self.case, self.number, self.settings = case, number, its_settings
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits
        self.port, self.agent = free_port(), Agent()
        self.folder = case.folder / f"gateway-{number}"
        self.folder.mkdir()
        self.known: list[dict[str, Any]] = []
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, rows: list[dict[str, Any]], **environment: str) -> Gateway:
        """Start the agent with this list, then a process, and wait for its PONG."""
        self.known = rows
        await self.agent.start()
        self.case.closers.append(self.agent.close)
        await self.agent.put(*rows)
        await self.spawn(**environment)
        return self

    async def spawn(
        self, ready: bool = True, pass_fds: tuple[int, ...] = (), **environment: str
    ) -> asyncio.subprocess.Process:
        """Start a process of this gateway, with the command of the deploy file."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration()))
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = tomllib.load(file)["run"]
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        env = {name: text for name, text in os.environ.items() if name not in ("PYTHONPATH", "TROUBLE")}
        env |= {
            "EDGE_NAME": f"n{self.number}",
            "EDGE_LISTEN": f"127.0.0.1:{self.port}",
            "EDGE_DISCOVERY": f"127.0.0.1:{self.agent.port}",
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(scratch),
        } | environment
        with (self.folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=log, stderr=log, pass_fds=pass_fds
            )
        self.case.processes.append(self.process)
        self.case.record.note(f"gateway {self.number}: process {self.process.pid} started")
        if ready:
            await self.pong()
        return self.process

    def configuration(self) -> dict[str, Any]:
        """What the process finds in EDGE_CONFIG."""
        return {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": f"{random.getrandbits(64):x}",
            "limits": self.limits,
            "known": {"generation": 1, "reset": True, "instances": self.known},
            "settings": self.settings,
        }

    async def pong(self) -> None:
        """Wait until it takes clients, as the front does."""
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                line = await reader.readline()
                writer.close()
                if line == b"+PONG\r\n":
                    return
            if self.process and self.process.returncode is not None:
                raise CouldNotRunError(f"a gateway did not start: exit code {self.process.returncode}")
            await asyncio.sleep(0.02)
        raise CouldNotRunError("a gateway was not ready in time")


# ---- Servers


def array(value: bytes) -> bytes:
    """A server's answer: the value, no figures on use, a load report."""
    report = b"util=0.10,queue=0"
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)


class Server:
    """A board node. ``work`` is given each command's words and the connection, and writes the answer.

    A command is begun when its last byte has come; answers on a connection keep the order of the commands.
    """

    def __init__(
        self,
        name: str,
        work: Callable[[Server, list[bytes], asyncio.StreamWriter], Awaitable[None]],
        zone: str = "sala-a",
    ) -> None:
        self.name, self.work, self.zone = name, work, zone
        self.port, self.state, self.started_ms = 0, "Ready", 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, case: Case) -> Server:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        case.closers.append(self.server.close)
        return self

    def end(self) -> None:
        """The process ends: its connections are reset, new ones refused."""
        assert self.server
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def row(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": "std-3c",
            "cell": 0,
            "lifecycle": self.state,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while words := await read_command(reader):
                if words[0] not in (b"CALL.GET", b"CALL.POST"):
                    writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"-ERR unknown\r\n")
                    continue
                await self.work(self, words, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """The next array of bulk strings; empty at the end of the connection."""
    head = await reader.readline()
    if not head.endswith(b"\r\n"):
        return []
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def fields_of(words: list[bytes]) -> dict[str, str]:
    """The names and values of a command."""
    return dict(part.split("=", 1) for part in words[3].decode().split(","))


# ---- Clients


def command(
    name: str,
    plan: str = "free",
    request_id: str = "",
    customer: int = 1,
    wait_ms: int = 5000,
    key: str = "",
    body: bytes | None = None,
    spread: int = 1,
    first: int = 0,
) -> bytes:
    """A request as PROTOCOL has it; a body makes it a CALL.POST."""
    parts = [f"c={name}", f"t={plan}", f"d={wait_ms}", *([f"k={key}"] if key else [])]
    listed = ",".join([*parts, "units=1", f"spread={spread}", f"first={first}"]).encode()
    words = [b"CALL.GET" if body is None else b"CALL.POST", b"%016x" % customer, request_id.encode(), listed]
    words += [] if body is None else [body]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def new_id() -> str:
    """A request's id, new each time."""
    return f"{random.getrandbits(64):016x}"


async def read_answer(reader: asyncio.StreamReader, paced: float = 0.0, for_s: float = 0.0) -> bytes | None:
    """The next answer: its line if it is none of a value, else the value; None if it never came whole.

    ``paced``: bytes a second that the client reads of a value, ``for_s`` seconds; 0 for all that comes.
    """
    try:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return None
        if line[:1] != b"$":
            return line
        left, value = int(line[1:]) + 2, bytearray()
        end = time.monotonic() + for_s
        while left:
            paced = paced if time.monotonic() < end else 0.0
            piece = await reader.read(min(left, 16 * 1024) if paced else left)
            if not piece:
                return None
            value += piece
            left -= len(piece)
            if paced:
                await asyncio.sleep(len(piece) / paced)
        return bytes(value[:-2])
    except (OSError, asyncio.IncompleteReadError):
        return None


# ---- A case


class Case:
    """One run: a temporary folder, the record, and all that has to be ended."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[asyncio.subprocess.Process] = []
        self.closers: list[Callable[[], Any]] = []

    async def close(self) -> None:
        """End every process that was started."""
        for process in self.processes:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        for close in self.closers:
            with suppress(Exception):
                close()
        for log in sorted(self.folder.glob("gateway-*/log.txt")):
            self.record.note(f"---- the log of {log.parent.name}")
            self.record.file.write(log.read_text(errors="replace")[-20_000:])
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.file.close()


def run(file: str, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def whole() -> int:
        case = Case(Path(file).resolve().parent)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LONGEST_S):
                broken = await play(case)
            case.record.say("BROKEN" if broken else "held")
            return BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError):
            case.record.say(f"could not run: {traceback.format_exc()}")
            return NOT_RUN
        finally:
            await case.close()

    async def and_exit() -> None:
        code = await whole()
        sys.stdout.flush()
        os._exit(code)  # no word from connections that are still open as the loop is closed

    asyncio.run(and_exit())
