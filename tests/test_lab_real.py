"""Experiments on sockets: real gateway processes, stand-in nodes, faults of the shelf, the same oracle."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import hiredis
import msgspec
import pytest
import uvloop

from brackenloft.lab import cli, spec
from brackenloft.lab.nodes import Node
from brackenloft.lab.real import beside, commands, sockets
from brackenloft.lab.real.gateways import GatewayProcess, configuration
from brackenloft.lab.real.links import Door, Listener, Slot, Wrong
from brackenloft.standins.discovery import Agent
from brackenloft.standins.peer import resp
from tests.fakes import run

SMALL = """
name = "small"
length_ms = 1600
warm_ms = 0
nodes = {count = 4, zones = 2, warm_up_ms = 0}
gateways = {count = 2, width = 2, notice_ms = 100, restart_ms = 200}
told = {list_ms = 100}
[[classes]]
name = "read-board"
aim_ms = 500
deadline_ms = 900
effect = "safe"
work_ms = 5
[[classes]]
name = "post-notice"
aim_ms = 500
deadline_ms = 900
effect = "keyed"
work_ms = 5
[[classes]]
name = "buy-highlight"
aim_ms = 500
deadline_ms = 900
effect = "unsafe"
work_ms = 5
[[plans]]
name = "cidade"
rate = 8
burst = 16
customers = 12
"""
FAULTS = """
[[faults]]
kind = "crash"
at_ms = 200
for_ms = 400
on = [0]
[[faults]]
kind = "cut"
at_ms = 300
for_ms = 400
on = [1]
[[faults]]
kind = "drain"
at_ms = 500
for_ms = 300
on = [1]
[[faults]]
kind = "gateway_crash"
at_ms = 800
on = [0]
[[faults]]
kind = "start"
at_ms = 1000
on = [2]
[[faults]]
kind = "errors"
at_ms = 1200
for_ms = 200
on = [3]
[[faults]]
kind = "silent"
at_ms = 1400
for_ms = 200
on = [3]
"""


def seen(experiment: spec.Experiment, folder: Path, place: type = GatewayProcess) -> sockets.Sockets:
    """One run on sockets."""

    async def scenario():
        return await sockets.Sockets(experiment, 1, folder, place).run()

    return uvloop.run(scenario())


def test_every_try_has_one_answer_and_no_rule_is_broken_through_the_faults_of_the_shelf(tmp_path):
    leaving = SMALL.replace("[[classes]]", "clients = {leaves = 0.1}\n[[classes]]", 1)
    played = seen(spec.read(leaving + FAULTS), tmp_path)
    counts = played.oracle.counts
    assert not played.oracle.words
    assert counts["tries"] == sum(counts[what] for what in ("served", "refused", "failed", "died", "left"))
    assert counts["served"] > 0 and counts["attempts"] >= counts["sent_on"] >= counts["served"]
    assert played.connections > 0 and played.cpu_s > 0.0
    assert [kind for _, kind in played.oracle.faults] == [
        "crash",
        "cut",
        "drain",
        "gateway_crash",
        "start",
        "errors",
        "silent",
    ]
    for gateway in played.gateways:
        assert gateway.process.returncode is not None  # nothing is left of it


class Doubling:
    """A gateway that breaks rules: it sends each request to two nodes at once, and answers late or never."""

    def __init__(self, folder, index, settings, seed):
        self.index, self.rows, self.teller = index, {}, Agent()
        self.port, self.process, self.silent = 0, None, False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks = set()

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await self.answer(reader, writer)

    async def answer(self, reader, writer):
        parser = hiredis.Reader()
        while data := await reader.read(65536):
            parser.feed(data)
            while (words := parser.gets()) is not False:
                self.silent = not self.silent
                for entry in list(self.teller.rows.values())[:2]:
                    task = asyncio.ensure_future(self.ask(entry["hostPort"], resp(*words), writer))
                    self.tasks.add(task)
                if self.silent:
                    continue
                await asyncio.gather(*self.tasks)
                writer.write(b"$4\r\ndone\r\n$4\r\ndone\r\n")

    async def ask(self, address, text, client):
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(text)
        await reader.read(1000)
        writer.close()

    def process_lives(self):
        return True

    def spent_s(self):
        return 0.0, 0.0

    async def close(self):
        self.server.close()


def test_a_gateway_that_breaks_rules_is_seen_by_the_oracle(tmp_path):
    slow = SMALL.replace("work_ms = 5", "work_ms = 300")
    rules = seen(spec.read(slow), tmp_path, Doubling).oracle.rules
    assert rules["one at a time"] and rules["no effect twice"] and rules["one answer in time"]
    assert rules["answered twice"]


def test_a_gateways_file_is_what_serve_takes(tmp_path):
    from brackenloft import config

    settings = spec.read(SMALL).settings(1)
    path = tmp_path / "gateway.json"
    path.write_text(json.dumps(configuration(settings, 4000, 7)))
    read = config.load(path)
    assert read.settings == settings
    assert (read.discovery, read.seed) == (("127.0.0.1", 4000), 7)


def test_a_gateway_ends_with_the_process_that_started_it(tmp_path):
    path = tmp_path / "gateway.json"
    path.write_text(json.dumps(configuration(spec.read(SMALL).settings(0), 1, 7)))
    parent = subprocess.Popen(
        [
            sys.executable,
            "-c",
            "import subprocess, sys, time\n"
            "child = subprocess.Popen([sys.executable, '-m', 'brackenloft.lab.real.child', *sys.argv[1:]],"
            " stderr=subprocess.PIPE, text=True)\n"
            "while 'listening' not in child.stderr.readline(): pass\n"
            "print(child.pid, flush=True)\ntime.sleep(600)",
            "serve",
            "--config",
            str(path),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    child = os.pidfd_open(int(parent.stdout.readline()))
    parent.send_signal(signal.SIGKILL)
    parent.wait()
    import select

    ended, _, _ = select.select([child], [], [], 20.0)
    assert ended == [child]
    os.close(child)
    parent.stdout.close()


def test_a_process_that_does_not_start_is_told_with_its_last_words(tmp_path):
    async def scenario():
        settings = spec.read(SMALL).settings(0)
        gateway = GatewayProcess(tmp_path, 0, settings, "no number")
        try:
            with pytest.raises(spec.ExperimentError, match="seed: 'no number' is not a whole number"):
                await gateway.start()
        finally:
            await gateway.close()

    run(scenario())


class Host:
    """What doors tell."""

    def __init__(self):
        self.words, self.ends = [], asyncio.Event()

    def commanded(self, door, words):
        slot = Slot(None)
        door.slots.append(slot)
        self.words.append((door, slot, words))

    def left(self, door):
        self.ends.set()


async def listener_of(host):
    node = Node(0, spec.Nodes(), 1.0, lambda: 0.0, lambda *_: None)
    listener = Listener(lambda: Door(host, 0, node))
    listener.take()
    return listener


def test_answers_keep_the_order_of_the_commands():
    async def scenario():
        host = Host()
        listener = await listener_of(host)
        reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
        writer.write(resp("A") + resp("B") + resp("C")[:3])
        while len(host.words) < 2:
            await asyncio.sleep(0)
        writer.write(resp("C")[3:])
        while len(host.words) < 3:
            await asyncio.sleep(0)
        door = host.words[0][0]
        for number, text in ((1, b"+second\r\n"), (2, b"+third\r\n"), (0, b"+first\r\n")):
            door.answer(host.words[number][1], text)
        assert await reader.readexactly(25) == b"+first\r\n+second\r\n+third\r\n"[:25]
        writer.close()
        await host.ends.wait()
        listener.refuse()

    run(scenario())


def test_a_listener_refuses_hangs_and_takes_again_at_one_port():
    async def scenario():
        host = Host()
        listener = await listener_of(host)
        port = listener.port
        listener.hang()
        hanging = socket.socket()
        hanging.setblocking(False)
        loop = asyncio.get_running_loop()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(loop.sock_connect(hanging, ("127.0.0.1", port)), 0.2)
        hanging.close()
        listener.mend()
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.close()
        listener.refuse()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", port)
        listener.take()
        assert listener.port == port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while not any(door.open for door in listener.doors):
            await asyncio.sleep(0)
        listener.reset()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
        listener.refuse()

    run(scenario())


def test_what_is_no_command_ends_the_connection_alone():
    async def scenario():
        host = Host()
        listener = await listener_of(host)
        reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
        writer.write(b"*1\r\n!nonsense\r\n")
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        listener.refuse()
        writer.close()

    run(scenario())


@pytest.mark.parametrize(
    ("answer", "word"),
    [
        (b"done", ("served", 0.0)),
        (Wrong("BUSY"), ("refused", 0.0)),
        (Wrong("BUSY 120"), ("refused", 120.0)),
        (Wrong("ERR failed"), ("failed", 0.0)),
        (Wrong("BUSY x"), ("refused", 0.0)),
        (None, ("failed", 0.0)),
    ],
)
def test_answers_in_one_word(answer, word):
    assert commands.understood(answer) == word


def test_a_key_is_the_wishs_own():
    customer = type("Customer", (), {"number": 3})
    keys = {commands.keyed(customer, at) for at in (1.0, 1.001, 2.0)}
    assert len(keys) == 3 and commands.keyed(customer, 1.0) in keys


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"gateways": {"count": 40}}, "gateways.count: 40 processes, 16 at most"),
        ({"nodes": {"count": 400}}, "nodes.count: 800 gateways times nodes"),
        ({"length_ms": 500_000.0}, "length_ms: 500 seconds"),
        ({"load": 100.0}, "load: "),
    ],
)
def test_what_is_too_much_for_sockets_is_told_in_one_line(change, word, tmp_path, capsys):
    document = msgspec.to_builtins(spec.read(SMALL))
    for key, value in change.items():
        document[key] = {**document[key], **value} if isinstance(value, dict) else value
    path = tmp_path / "much.toml"
    path.write_bytes(msgspec.toml.encode(document))
    assert cli.main(["run", "--real", str(path)]) == 2
    assert word in capsys.readouterr().err


def test_other_policies_have_no_processes(tmp_path, capsys):
    assert cli.main(["run", "--real", "calm", "--policy", "let_all"]) == 2
    assert "none but ours" in capsys.readouterr().err


def test_the_two_are_compared_by_served_share_and_median():
    real, world = {"served_share": 0.58, "median_ms": 21.0}, {"served_share": 0.6, "median_ms": 20.0}
    found = beside.apart(real, world, 0.002)
    assert (found.served_points, found.median_percent, found.verdict()) == (2.0, 5.0, "alike")
    assert beside.apart(real | {"served_share": 0.549}, world, 0.0).verdict() == "apart"
    assert beside.apart(real | {"median_ms": 16.9}, world, 0.0).verdict() == "apart"
    assert beside.apart(real, world, 0.011).verdict() == "machine too busy"
    assert beside.apart(real, world, 0.0, 0.41).verdict() == "machine too busy"
    assert beside.apart(real, world, 0.0, 0.39).verdict() == "alike"


def test_the_command_prints_both_and_exits_by_the_rules(tmp_path, capsys):
    path = tmp_path / "small.toml"
    path.write_text(SMALL.replace("1600", "300"))
    assert cli.main(["run", "--real", str(path), "--json", "--seeds", "1"]) == 0
    row = json.loads(capsys.readouterr().out)
    assert row["real"]["tries"] > 0 and row["world"]["tries"] > 0 and row["rules"] == {}
