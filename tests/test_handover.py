"""One process takes over from another: the state, the frames, and what goes wrong between the two."""

import asyncio
import json
import socket
import subprocess
import sys
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from types import SimpleNamespace

import pytest
from conftest import Rig, entry
from fakes import SETTINGS, FakeServer, array, call, row, run, until
from hypothesis import given
from hypothesis import strategies as st
from test_net_process import ROOT, command
from test_net_process import SETTINGS as PROCESS_SETTINGS

from brackenloft import Plan, Status
from brackenloft.__main__ import CANT_START
from brackenloft.edge import Edge, Room
from brackenloft.handover import channel
from brackenloft.handover.channel import Succession, Tap, socket_path
from brackenloft.handover.frames import FrameError, Frames, encode
from brackenloft.handover.state import Adopted, StateError, pending, tell
from brackenloft.lifecycle import Event, State
from brackenloft.standins import Peer
from brackenloft.standins.platform import Platform, ask_on

NAMES = {1: "s-1", 2: "s-2"}
NUMBERS = {"s-2": 4, "s-1": 3}  # another process numbers them by itself


def worked(steps) -> Rig:
    """A gateway that has had these requests and outcomes."""
    rig, out = Rig(), []
    rig.servers(entry(1), entry(2, started_ms=500.0))
    for plan, customer, what in steps:
        rig.run(37.0)
        if what == "ask" or not out:
            name = rig.ask(plan=plan, customer=customer)
            out += [name] if name in rig.sent else []
        else:
            rig.finish(out.pop(), Status.OK if what == "ok" else Status.ERROR, attempt=0, used=80.0)
    return rig


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["metered", "capped", "ceiling", "only-cap"]),
        st.sampled_from("ab"),
        st.sampled_from(["ask", "ask", "ok", "error"]),
    ),
    max_size=25,
)


def successor(state, later=0.0, numbers=NUMBERS) -> tuple[Rig, Adopted]:
    """A fresh gateway with a clock of its own that has adopted this."""
    rig = Rig(seed=2)
    rig.now = 9_000_000.0
    rig.servers(entry(3), entry(4, started_ms=500.0))
    (document,) = Frames().feed(encode(state))
    return rig, Adopted(rig.gateway, document, numbers, rig.now + later)


@given(STEPS)
def test_what_is_told_is_what_is_known_afterwards(steps):
    """Quotas, ceilings, marks and the pool: told once more by the successor, they are the same."""
    rig = worked(steps)
    state = tell(rig.gateway, NAMES, rig.now)
    heir, _ = successor(state)
    again = tell(heir.gateway, {number: name for name, number in NUMBERS.items()}, heir.now)
    assert again["started"] == pytest.approx(state["started"], abs=0.01) and again["whole"] is True
    assert set(again["servers"]) == set(state["servers"])
    for key in ("pool", "answers", "mean", "sends", "latency", "retries"):
        assert again["fleet"][key] == state["fleet"][key]
    for mine, theirs in zip(state["customers"], again["customers"], strict=True):
        assert mine[:2] == theirs[:2] and mine[2] == pytest.approx(theirs[2])
        assert mine[3] == pytest.approx(theirs[3], abs=0.01)
    for name, server in state["servers"].items():
        assert set(again["servers"][name][5]) == set(server[5])


@given(st.integers(1, 12), st.integers(0, 40), st.integers(0, 3), st.sampled_from([0.0, 3.0, 40.0]))
def test_both_processes_together_stay_below_a_ceiling(before, after, told, pool):
    """At one moment: what the old one has sent, owes and still tells, and what the new one sends.

    With a small pool the old one owes much that its ceiling, full as after a long time, would have let go.
    """
    old = worked([])
    old.gateway.meter.started_at, old.gateway.fleet.pool = -1e9, pool
    for _ in range(before):
        old.ask(plan="ceiling", customer="a")
    plan = old.gateway.meter.plans["ceiling"]
    customer = old.gateway.meter.customers["ceiling", "a"]
    level = old.gateway.meter._ceiling_level(customer, plan, old.now)
    new, adopted = successor(tell(old.gateway, NAMES, old.now))
    adopted.charged([["ceiling", "a", 1, 1.0]] * told, new.now)
    customer = new.gateway.meter.customers["ceiling", "a"]
    assert customer.out == sum(len(flight.out) for flight in old.gateway.flights.values()) + told
    for _ in range(after):
        new.ask(plan="ceiling", customer="a")
    owed = told + len(pending(old.gateway))
    assert owed + len(new.sent) <= max(level, owed) + 1e-6
    adopted.ended()
    assert customer.out == len(new.sent)
    tap = Tap(pending(old.gateway))
    for flight in old.gateway.flights.values():
        tap.sent(SimpleNamespace(request=flight.request, sends=1))
    charged = [row[3] for row in tap.take()]
    assert charged.count(0.0) == len(pending(old.gateway)) and not tap.take()


def test_a_state_cut_at_or_spoilt_in_any_byte_is_no_state():
    rig = worked([("metered", "a", "ask"), ("ceiling", "b", "ask"), ("metered", "a", "ok")])
    frame, pieces, found = encode(tell(rig.gateway, NAMES, rig.now)), Frames(), []
    for place in range(len(frame)):
        assert Frames().feed(frame[:place]) == [] == found
        spoilt = bytearray(frame)
        spoilt[place] ^= 1 << place % 8
        with suppress(FrameError):
            assert Frames().feed(bytes(spoilt)) == []  # a length that says more than there is
        found = pieces.feed(frame[place : place + 1])  # and byte by byte it is one, at the last of them
    assert [document["kind"] for document in found] == ["state"]


PATHS = [
    ("customers",),
    ("servers",),
    ("fleet",),
    ("customers", 0),
    ("customers", 0, 2),
    ("customers", 0, 2, 0),
    ("customers", 0, 3, 0),
    ("servers", "s-1"),
    ("servers", "s-1", 0),
    ("fleet", "pool"),
    ("fleet", "mean"),
    ("fleet", "latency"),
    ("fleet", "retries"),
    ("started",),
    ("customers", 0, 0),
]


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("value", [None, "x", -1e30, 1e300, True, [], {}, [[]]])
def test_a_state_of_another_shape_is_refused_whole(path, value):
    rig = worked([("metered", "a", "ask"), ("capped", "b", "ask")])
    state = json.loads(json.dumps(tell(rig.gateway, NAMES, rig.now)))
    at = state
    for key in path[:-1]:
        at = at[key]
    at[path[-1]] = value
    heir = Rig(seed=2)
    heir.servers(entry(3))
    fine = (path, value) in [(("customers",), []), (("servers",), {}), (("fleet", "pool"), None)]
    try:
        Adopted(heir.gateway, state, NUMBERS, heir.now)
        assert fine
    except StateError:
        assert not fine and not heir.gateway.meter.customers and heir.gateway.fleet.answers == 0


# ---- Two gateways of one listener, over a real Unix socket


@asynccontextmanager
async def gateway(server, directory, held, known=True, plans=SETTINGS.plans):
    """One process's gateway, at a descriptor of the shared listener."""
    async with Edge(replace(SETTINGS, plans=plans), Room(50, 50), seed=1) as edge:
        edge.expects = True
        if known:
            edge.discovery.told({"generation": 1, "reset": True, "instances": [row("s-1", server.port)]})
        succession = Succession(edge, directory, "127.0.0.1:1")
        try:
            yield edge, succession, lambda: edge.inherit(held.dup().detach())
        finally:
            await succession.close()


@asynccontextmanager
async def world(tmp_path, plans=SETTINGS.plans):
    server = await FakeServer(lambda words: None if words[2].endswith(b"9") else array(b"v")).start()
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with gateway(server, tmp_path, held, plans=plans) as (edge, succession, accept):
            await succession.begin(accept)
            yield server, held, edge


async def connected(held) -> Peer:
    return await Peer().open(held.getsockname()[1])


def test_the_successor_accepts_and_the_first_finishes_what_it_took(tmp_path):
    plans = (*SETTINGS.plans, Plan("roof", rate=1000.0, burst=1000.0, ceiling_rate=0.001, ceiling_burst=8.0))

    async def test():
        async with world(tmp_path, plans) as (server, held, old):
            old.driver.gateway.meter.started_at -= 1e9  # long ago: ceilings are full
            kept, busy = await connected(held), await connected(held)
            for number in (1, 2):
                assert await kept.ask(call(number, plan="roof")) == b"v"
            busy.send(call(9, plan="roof"))
            await server.until(lambda: len(server.commands) == 3)
            async with gateway(server, tmp_path, held, known=False, plans=plans) as (new, succession, accept):
                new._ready.set()  # no list of its own: the first one's is the newest
                await succession.begin(accept)
                assert (old.lifecycle.state, new.lifecycle.state) == (State.HANDING, State.READY)
                assert not old.clients.accepting and new.clients.accepting
                assert await kept.reply() is None
                late = await connected(held)
                (customer,) = new.driver.gateway.meter.customers.values()
                assert customer.out == 1
                assert await late.ask(call(4, plan="roof")) == b"v"  # the last of four, half of eight
                assert (await late.ask(call(5, plan="roof", wait=100))).startswith("-BUSY")
                server.writers[server.by[2]].write(array(b"late"))
                assert await busy.reply() == b"late" and await busy.reply() is None
                await until(lambda: customer.out == 0)
                assert len(server.commands) == 4

    run(test())


def test_a_successor_that_dies_before_or_after_its_yes_is_undone(tmp_path):
    async def test():
        async with world(tmp_path) as (server, held, old):
            hello, took = encode({"kind": "hello"}), encode({"kind": "took"})
            for dies in (b"", hello, hello + took):
                reader, writer = await asyncio.open_unix_connection(str(socket_path(tmp_path, "127.0.0.1:1")))
                writer.write(dies)
                if dies:
                    assert await reader.read(10)
                if b"took" in dies:
                    await until(lambda: old.lifecycle.state is State.HANDING)
                writer.close()
                await until(lambda: old.lifecycle.state is State.READY and old.driver.tap is None)
                assert await (await connected(held)).ask(call(len(dies) * 10)) == b"v"
            assert old.budget.total == old.budget.full

    run(test())


@pytest.mark.parametrize("left", ["nothing", "stale", "hung", "junk", "cut", "other version"])
def test_a_successor_starts_cold_where_nobody_or_nobody_sensible_answers(tmp_path, monkeypatch, left):
    async def test():
        monkeypatch.setattr(channel, "STEP_S", 0.1)
        directory = tmp_path / ("d" * 120)  # longer than an address of a socket may be
        directory.mkdir()
        path = socket_path(directory, "127.0.0.1:1")
        answers = {
            "junk": b"HTTP/1.1 400",
            "cut": encode({"kind": "state", "customers": []})[:-3],
            "other version": encode({"kind": "state"}).replace(b"BLH\x01", b"BLH\x02"),
        }
        sockets = []
        if left != "nothing":
            sock = socket.socket(socket.AF_UNIX)
            with channel.Short(path) as name:
                sock.bind(name)
            if left != "stale":
                sock.listen()
            sockets.append(sock)
        if left in answers:

            async def answer(reader, writer):
                writer.write(answers[left])
                writer.close()

            sockets.append(await asyncio.start_unix_server(answer, sock=sock))
        server = await FakeServer(lambda words: array(b"v")).start()
        with socket.create_server(("127.0.0.1", 0)) as held:
            async with gateway(server, directory, held) as (edge, succession, accept):
                await succession.begin(accept)
                assert edge.lifecycle.state is State.READY
                assert await (await connected(held)).ask(call(1)) == b"v"
                assert edge.budget.total == (edge.budget.full if left == "nothing" else edge.budget.full // 2)
                heir = channel.TakeOver(edge, path)  # the path is this one's now
                line = await heir._connect()
                line.say({"kind": "hello"})
                assert (await line.expect("state"))["kind"] == "state"
                line.close()
        for sock in sockets:
            sock.close()

    run(test())


# Guards against an id that runs at both processes of an upgrade, as neither has read the other one's word.
def test_id_that_comes_to_both_processes_in_one_turn_of_the_loop_runs_once_at_most(tmp_path):
    async def test():
        async with world(tmp_path) as (server, held, old):
            kept = await connected(held)
            kept.send(call(9))
            await server.until(lambda: len(server.commands) == 1)
            async with gateway(server, tmp_path, held) as (new, succession, accept):
                await succession.begin(accept)
                late = await connected(held)
                assert await late.ask(call(1)) == b"v"
                for number in range(10, 19):
                    kept.send(call(number, "buy"))
                    late.send(call(number, "buy"))
                    assert isinstance(await late.reply(), bytes | str)
                await until(lambda: not new.driver.calls and len(old.driver.calls) == 1)
                ran = [int(words[2], 16) for words in server.commands]
                assert max(ran.count(number) for number in range(10, 19)) <= 1

    run(test())


# Guards against a word that the other process has written, and that is read only behind a client's request.
def test_what_the_other_process_has_said_is_read_without_a_turn_of_the_loop(tmp_path):
    async def test():
        async with (
            world(tmp_path) as (server, held, old),
            gateway(server, tmp_path, held) as (new, succession, accept),
        ):
            await succession.begin(accept)
            for number, (one, other) in enumerate([(new, old), (old, new)]):
                name = f"{number:016x}"
                one.driver.tap.waiting.append(name)
                one.driver.tap.flush()
                with pytest.raises(ValueError, match="may have run"):
                    other.driver.check_new(name, is_write=True)

    run(test())


def test_a_second_successor_and_one_that_asks_too_early_are_turned_away(tmp_path):
    async def test():
        async with world(tmp_path) as (_, _held, old):
            old.lifecycle.state = State.STARTING
            line = await channel.TakeOver(old, socket_path(tmp_path, "127.0.0.1:1"))._connect()
            line.say({"kind": "hello"})
            assert await line.hear() is None
            old.lifecycle.happens(Event.LISTED)
            first, second = [
                await channel.TakeOver(old, line_path)._connect()
                for line_path in [socket_path(tmp_path, "127.0.0.1:1")] * 2
            ]
            first.say({"kind": "hello"})
            assert (await first.expect("state"))["kind"] == "state"
            assert await second.hear() is None
            first.close()
            await until(lambda: old.driver.tap is None)

    run(test())


# ---- Real processes


async def traffic(platform, answers, stop):
    """Requests one after the other, on a connection for as long as it lasts."""
    peer = None
    while not stop.is_set():
        answer, peer, _ = await ask_on(platform, call(len(answers) + 1, wait=30_000), peer)
        answers.append(answer)


@asynccontextmanager
async def platform(tmp_path):
    server = await FakeServer(lambda words: array(words[2])).start()
    made = Platform(tmp_path, command(), ROOT, PROCESS_SETTINGS, {"s-1": server.port})
    try:
        yield made, server
    finally:
        await made.close()


def test_processes_replaced_under_traffic_lose_nothing_and_run_nothing_twice(tmp_path):
    async def test():
        async with platform(tmp_path) as (made, server):
            stop, answers = asyncio.Event(), []
            process = await made.start()
            loaded = asyncio.ensure_future(traffic(made, answers, stop))
            for _ in range(2):  # two upgrades in a row
                seen = len(answers)
                await until(lambda seen=seen: len(answers) > seen + 20)
                before, process = process, await process.replace()
                assert before.process.returncode == 0
            stop.set()
            await loaded
            process.process.kill()  # its file stays behind
            await process.process.wait()
            await made.start()
            assert [int(answer, 16) for answer in answers] == list(range(1, len(answers) + 1))
            ids = [words[2] for words in server.commands]
            assert len(ids) == len(set(ids)) == len(answers)
            assert await (await made.connect()).ask(call(999_999)) == b"%016x" % 999_999

    run(test())


def test_an_admin_address_that_is_taken_is_one_clear_line_and_an_exit(tmp_path):
    async def test():
        async with platform(tmp_path) as (made, _):
            with socket.create_server(("127.0.0.1", 0)) as taken:
                process = await made.start(ready=False, EDGE_ADMIN=f"127.0.0.1:{taken.getsockname()[1]}")
                assert await process.process.wait() == CANT_START

    run(test())


def test_without_admin_and_descriptor_nothing_of_it_is_imported():
    code = (
        "import sys, brackenloft.__main__; "
        "print([name for name in sys.modules if '.ops' in name or '.handover' in name])"
    )
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert out.strip() == "[]"


UNSAFE = {
    **PROCESS_SETTINGS,
    "services": [
        *PROCESS_SETTINGS["services"],
        {**PROCESS_SETTINGS["services"][0], "name": "buy", "effect": "unsafe"},
    ],
}


# Guards against a request that runs at both processes of an upgrade, as its client came again.
def test_id_that_one_process_has_sent_on_does_not_run_at_the_other_one(tmp_path):
    async def test():
        servers = [await FakeServer(lambda words: None).start() for _ in range(6)]  # room for all of these
        server = servers[0]
        for other in servers[1:]:  # one record of all
            other.commands, other.by, other.writers = server.commands, server.by, server.writers
            other.news = server.news
        ports = {f"s-{number}": each.port for number, each in enumerate(servers)}
        made = Platform(tmp_path, command(), ROOT, UNSAFE, ports)
        try:
            await made.start()
            early, kept, kept_too = [await made.connect() for _ in range(3)]
            for peer, text in (
                (early, call(1, "buy", wait=30_000)),
                (kept, call(11, wait=30_000)),
                (kept_too, call(12, wait=30_000)),
            ):
                before = len(server.commands)
                peer.send(text)
                await server.until(lambda before=before: len(server.commands) > before)
            reading = server.writers[server.by[2]]
            early.writer.close()
            await made.start()  # the first one serves whom it has, the second one accepts
            new = await made.connect()
            assert (await new.ask(call(1, "buy", wait=30_000))).startswith("-ERR")
            kept.send(call(2, "buy", wait=30_000))
            await server.until(lambda: len(server.commands) == 4)
            kept.writer.close()
            assert (await new.ask(call(2, "buy", wait=30_000))).startswith("-ERR")
            new.send(call(3, "buy", wait=30_000))
            await server.until(lambda: len(server.commands) == 5)
            new.writer.close()
            kept_too.send(call(3, "buy", wait=30_000))
            reading.write(array(b"v"))
            assert await kept_too.reply() == b"v" and (await kept_too.reply()).startswith("-ERR")
            assert [int(words[2], 16) for words in server.commands] == [1, 11, 12, 2, 3]
        finally:
            await made.close()

    run(test())
