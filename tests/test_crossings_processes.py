"""SIGTERM at moments that a process has only once: before its first list, and while one takes over.

Each moment is forced: a process stops itself, or ends itself, at a step of the handover; a list never comes.
"""

import asyncio
import json
import os
import signal
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from fakes import FakeDiscovery, FakeServer, array, call, resp, run
from test_net_process import ROOT, SETTINGS, connect

from brackenloft.standins.platform import Platform, ask_on
from brackenloft.standins.ports import free_port

LOOK_S = 0.01
NEVER_S = 3600.0  # far beyond the limit of a test
PROGRAM = """
import os, signal
from brackenloft import __main__ as program
from brackenloft.edge import edge
from brackenloft.handover import channel

STEP = os.environ.get("STEP")
say, begin = channel.Line.say, channel.Succession.begin


def end_here():
    os.kill(os.getpid(), signal.SIGTERM)


def stop_here():
    os.kill(os.getpid(), signal.SIGSTOP)


def stop_predecessor():
    os.kill(int(os.environ["PREDECESSOR"]), signal.SIGSTOP)


def saying(line, document):
    at_step = document["kind"] == STEP
    if at_step:
        BEFORE()
    say(line, document)
    if at_step:
        AFTER()


async def beginning(succession, accept):
    if STEP == "start":
        AFTER()
    await begin(succession, accept)


channel.Line.say, channel.Succession.begin = saying, beginning
channel.STEP_S = STEP_S
edge.FIRST_LIST_S = FIRST_LIST_S
raise SystemExit(program.main())
"""


def code(before="bool", after="bool", step_s=1.0, first_list_s=1.0):
    """The program, with what it does before and after it says something at ``STEP`` of the handover."""
    return (
        PROGRAM.replace("BEFORE()", f"{before}()")
        .replace("AFTER()", f"{after}()")
        .replace("= STEP_S", f"= {step_s}")
        .replace("= FIRST_LIST_S", f"= {first_list_s}")
    )


COMMAND = f'exec {sys.executable} -c "$CODE"'


@asynccontextmanager
async def platform(tmp_path, *servers):
    made = Platform(tmp_path, COMMAND, ROOT, SETTINGS, {f"s-{n}": one.port for n, one in enumerate(servers)})
    try:
        yield made
    finally:
        for process in made.started:
            if process.process.returncode is None:
                process.process.send_signal(signal.SIGCONT)
        await made.close()


@asynccontextmanager
async def alone(tmp_path, program):
    """One process with a listener of its own that knows no server, and a discovery that says nothing."""
    discovery, port = await FakeDiscovery().start(), free_port()
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery.port}",
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"generation": 1, "reset": True, "instances": []},
                "settings": SETTINGS,
            }
        )
    )
    process = await asyncio.create_subprocess_shell(
        COMMAND, cwd=ROOT, env={**os.environ, "EDGE_CONFIG": str(path), "CODE": program}
    )
    try:
        yield process, port, discovery
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def is_up(process):
    """Its second address answers: it has started, and said no yes."""
    while (status := (await process.call("GET", "/-/ready"))[0]) == 0:
        await asyncio.sleep(LOOK_S)
    assert status == 503


async def has_stopped(process):
    """The system has stopped it, as it asked for."""
    stat = Path(f"/proc/{process.process.pid}/stat")
    while stat.read_text().rpartition(")")[2].split()[0] != "T":
        await asyncio.sleep(LOOK_S)


def test_sigterm_before_the_first_list_answers_what_waits_for_a_server_and_ends(tmp_path):
    async def test():
        async with alone(tmp_path, code(first_list_s=NEVER_S)) as (process, port, discovery):
            await discovery.watch()
            peer = await connect(port)
            assert (await peer.ask(resp("PING"))).startswith("-LOADING")
            peer.send(call(1, wait=60_000))
            process.send_signal(signal.SIGTERM)
            assert (await peer.reply()).startswith("-")
            assert await peer.reply() is None
            assert await process.wait() == 0

    run(test())


def test_sigterm_to_a_successor_that_waits_for_its_first_list_ends_it_and_the_other_serves_on(tmp_path):
    async def test():
        server = await FakeServer(lambda words: array(b"v")).start()
        async with platform(tmp_path, server) as made:
            old = await made.start(CODE=code())
            heir = await made.start(ready=False, CODE=code(first_list_s=NEVER_S))
            await is_up(heir)
            heir.process.terminate()
            assert await heir.process.wait() == 0
            assert (await old.call("GET", "/-/ready"))[0] == 200
            assert await (await made.connect()).ask(call(1)) == b"v"
            heir = await made.start(CODE=code())  # it may be replaced as before
            old.process.terminate()
            assert await old.process.wait() == 0
            assert await (await made.connect()).ask(call(2)) == b"v"

    run(test())


@pytest.mark.parametrize("step", ["hello", "took"])
def test_sigterm_to_a_successor_in_the_middle_of_the_handover_ends_it_and_the_other_serves_on(tmp_path, step):
    """The one that serves is stopped, so that its next word does not come before the signal."""

    async def test():
        server = await FakeServer(lambda words: array(b"v")).start()
        async with platform(tmp_path, server) as made:
            old = await made.start(CODE=code())
            heir = await made.start(
                ready=False,
                STEP=step,
                PREDECESSOR=str(old.process.pid),
                CODE=code(before="stop_predecessor", after="end_here", step_s=NEVER_S),
            )
            assert await heir.process.wait() == 0
            old.process.send_signal(signal.SIGCONT)
            answer, *_ = await ask_on(made, call(1), None)
            assert answer == b"v"
            while (await old.call("GET", "/-/ready"))[0] != 200:
                await asyncio.sleep(LOOK_S)
            successor = await made.start(CODE=code())
            old.process.terminate()
            assert await old.process.wait() == 0
            answer, *_ = await ask_on(made, call(2), None)
            assert answer == b"v" and (await successor.call("GET", "/-/ready"))[0] == 200

    run(test())


@pytest.mark.parametrize("step", ["start", "hello", "took"])
def test_sigterm_between_a_successors_start_and_its_yes_answers_what_is_in_hand_and_loses_nobody(
    tmp_path, step
):
    async def test():
        server = await FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"v")).start()
        async with platform(tmp_path, server) as made:
            old = await made.start(CODE=code())
            busy = await made.connect()
            busy.send(call(1, wait=60_000))
            await server.until(lambda: len(server.commands) == 1)
            heir = await made.start(ready=False, STEP=step, CODE=code(after="stop_here"))
            await has_stopped(heir)
            if step == "took":  # the one that serves accepts no more
                while (await old.call("GET", "/-/ready"))[0] == 200:
                    await asyncio.sleep(LOOK_S)
            old.process.terminate()
            server.writers[server.by[0]].write(array(b"late"))
            assert await busy.reply() == b"late" and await busy.reply() is None
            assert await old.process.wait() == 0
            waiting = await made.connect()  # nobody accepts now: the platform's listener keeps it
            waiting.send(call(2, wait=60_000))
            heir.process.send_signal(signal.SIGCONT)
            assert await waiting.reply() == b"v"
            while (await heir.call("GET", "/-/ready"))[0] != 200:
                await asyncio.sleep(LOOK_S)
            assert [int(words[2], 16) for words in server.commands] == [1, 2]

    run(test())
