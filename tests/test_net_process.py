"""The program as deploy/balancer.toml starts it: configuration, readiness, SIGTERM."""

import asyncio
import json
import logging
import os
import signal
import sys
import tomllib
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from fakes import (
    HOUSINGS,
    FakeDiscovery,
    FakeServer,
    Peer,
    array,
    call,
    chunk,
    housing,
    listing,
    node,
    resp,
    row,
    run,
)
from test_adapter import ENV

from brackenloft import __main__ as program_module
from brackenloft.obligations import UNRATIONED
from brackenloft.standins.ports import free_port

ROOT = Path(__file__).parent.parent
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
SETTINGS = {
    **ENV,
    "services": [{**ENV["services"][0], "name": "read", "hard_limit_ms": 60_000.0, "slo_ms": 30_000.0}],
    "tariffs": [{**ENV["tariffs"][0], "name": "free", "refill": 0.0, "most_at_once": 0.0}],
}


def command() -> str:
    """The deploy file's command; where its environment is not built, this interpreter in its place.

    In another housing the host's program takes its place.
    """
    if housing["now"] != HOUSINGS[0]:
        return f"exec {sys.executable} tests/host.py {housing['now'].removeprefix('library-')}"
    if (ROOT / ".venv" / "bin" / "python").exists():
        return RUN
    return RUN.replace(".venv/bin/python", sys.executable)


async def connect(port: int) -> Peer:
    """Connect as soon as the program listens."""
    while True:
        try:
            return await Peer().open(port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


async def configured(tmp_path, server: FakeServer, settings=SETTINGS, **limits):
    """The environment that a program is started with, the port it listens on and the discovery it watches."""
    discovery, port = await FakeDiscovery().start(), free_port()
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery.port}",
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
                "known": {"generation": 1, "reset": True, "instances": [row("s-1", server.port)]},
                "settings": settings,
            }
        )
    )
    env = {
        **os.environ,
        "EDGE_CONFIG": str(path),
        "EDGE_NAME": "n0",
        "EDGE_LISTEN": f"127.0.0.1:{port}",
        "EDGE_DISCOVERY": f"127.0.0.1:{discovery.port}",
    }
    return env, port, discovery


@asynccontextmanager
async def started(env):
    """The running program."""
    process = await asyncio.create_subprocess_shell(command(), cwd=ROOT, env=env)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@asynccontextmanager
async def program(tmp_path, server: FakeServer, settings=SETTINGS, **limits):
    """The running program, the port it listens on and the discovery it watches."""
    env, port, discovery = await configured(tmp_path, server, settings, **limits)
    async with started(env) as process:
        yield process, port, discovery


def test_starts_is_ready_once_it_has_a_list_and_serves(tmp_path):
    async def test():
        server = await FakeServer(lambda words: array(b"v")).start()
        async with program(tmp_path, server) as (process, port, discovery):
            peer = await connect(port)
            await peer.ask(resp("PING"))  # who says nothing for 2 s is closed, and the watch may take longer
            _, watch = await discovery.watch()
            watch.write(chunk(listing(2, row("s-1", server.port), reset=True)))
            while await peer.ask(resp("PING")) != b"PONG":
                await asyncio.sleep(0.01)
            assert await peer.ask(call(1)) == b"v"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(test())


def test_sigterm_answers_what_was_taken_and_closes_between_requests(tmp_path):
    async def test():
        server = await FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"v")).start()
        async with program(tmp_path, server) as (process, port, _):
            idle, busy, silent = await connect(port), await connect(port), await connect(port)
            assert await idle.ask(call(2)) == b"v"
            silent.send(call(17, wait=60_000))
            busy.send(call(1, wait=60_000))
            await server.until(lambda: len(server.commands) == 3)
            process.send_signal(signal.SIGTERM)
            assert await idle.reply() is None
            number = next(
                n
                for n, words in zip(server.by, server.commands, strict=True)
                if words[2] == b"0000000000000001"
            )
            server.writers[number].write(array(b"late"))
            assert await busy.reply() == b"late" and await busy.reply() is None
            # The server stays silent on this one, whose client would wait for a minute: refused in time.
            assert await silent.reply() == "-BUSY" and await silent.reply() is None
            assert await process.wait() == 0

    run(test())


def test_while_stopping_it_accepts_for_a_while_and_then_closes_between_requests():
    async def test():
        async with node(FakeServer()) as gateway:
            leaving = asyncio.ensure_future(gateway.edge.close(60.0, accept_s=2.0))
            await asyncio.sleep(0)
            late = await gateway.peer()
            assert await late.ask(call(3)) == b"0000000000000003"
            assert await late.reply() is None
            await leaving
            assert not gateway.clients.connections

    run(test())


def test_sighup_moves_the_watch_to_where_the_file_names_discovery_now(tmp_path):
    async def test():
        first = await FakeServer(lambda words: array(b"1")).start()
        second = await FakeServer(lambda words: array(b"2")).start()
        async with program(tmp_path, first) as (process, port, discovery):
            _, watch = await discovery.watch()
            watch.write(chunk(listing(2, row("s-1", first.port), reset=True)))
            peer = await connect(port)
            while await peer.ask(resp("PING")) != b"PONG":
                await asyncio.sleep(0.01)
            path = tmp_path / "config.json"
            document = json.loads(path.read_text())
            for text in ("{half", json.dumps({**document, "discovery": 7}), None):
                path.unlink()
                if text:
                    path.write_text(text)
                process.send_signal(signal.SIGHUP)  # can't be read: what is stays
            assert await peer.ask(call(1)) == b"1"
            for number, generation in ((2, 9), (3, 4)):
                moved = await FakeDiscovery().start()
                path.write_text(json.dumps({**document, "discovery": f"127.0.0.1:{moved.port}"}))
                process.send_signal(signal.SIGHUP)
                target, watch = await moved.watch()
                assert target == "/discovery/hosts?watch=1"
                watch.write(chunk(listing(generation, row("s-2", second.port), reset=True)))
                await discovery.ended.get()
                assert await peer.ask(call(number)) == b"2"
                discovery = moved
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(test())


def test_signal_that_comes_while_the_program_starts_waits_for_its_handler(tmp_path, monkeypatch):
    """SIGHUP at the first moment that code of ours runs in ``main``: its default would end the process."""
    if housing["now"] != HOUSINGS[0]:
        pytest.skip("a host minds its own signals")

    async def test():
        code = (
            "import os, signal; from brackenloft import __main__ as program\n"
            "load = program.Config.load\n"
            "def slow(env):\n    os.kill(os.getpid(), signal.SIGHUP)\n    return load(env)\n"
            "program.Config.load = slow\n"
            "raise SystemExit(program.main())"
        )
        monkeypatch.setattr(sys.modules[__name__], "command", lambda: f'exec {sys.executable} -c "$CODE"')
        monkeypatch.setenv("CODE", code)
        server = await FakeServer(lambda words: array(b"v")).start()
        async with program(tmp_path, server) as (process, port, discovery):
            peer = await connect(port)
            assert await peer.ask(call(1)) == b"v"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(test())


def test_lines_of_the_log_are_rationed_and_what_was_left_out_is_told():
    ration, lines = program_module.Ration(), []
    for number in range(3 * program_module.LOG_LINES):
        record = logging.makeLogRecord({"msg": "bad %d", "args": (number,), "created": 1000.0})
        lines += [record.getMessage()] if ration.filter(record) else []
    assert len(lines) == program_module.LOG_LINES
    record = logging.makeLogRecord({"msg": "later", "created": 1000.0 + program_module.LOG_SPAN_S})
    assert ration.filter(record)
    assert record.getMessage() == f"later ({2 * program_module.LOG_LINES} lines left out before)"


# Guards against lines on servers that leave none for what becomes of clients' connections.
def test_lines_of_one_logger_take_nothing_from_the_ration_of_another():
    ration = program_module.Ration()
    for _ in range(2 * program_module.LOG_LINES):
        ration.filter(logging.makeLogRecord({"name": "servers", "msg": "full", "created": 1000.0}))
    assert ration.filter(logging.makeLogRecord({"name": "clients", "msg": "closed", "created": 1000.0}))


# Guards against losses that are left out of the log because bad clients fill it.
def test_line_on_a_request_that_was_lost_is_written_however_many_others_there_are():
    ration = program_module.Ration()
    for _ in range(2 * program_module.LOG_LINES):
        ration.filter(logging.makeLogRecord({"msg": "bad", "created": 1000.0}))
    assert not ration.filter(logging.makeLogRecord({"msg": "bad", "created": 1000.0}))
    assert ration.filter(logging.makeLogRecord({"msg": "lost", "created": 1000.0, **UNRATIONED}))
    assert ration.left_out_in_all == program_module.LOG_LINES + 1
