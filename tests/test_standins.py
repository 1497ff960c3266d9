"""The stand-ins keep to the protocol's page, awkward corners too; checked with a plain client."""

import asyncio
import json

import pytest
from fakes import call, resp, run, until

from brackenloft.standins import (
    Agent,
    BoardNode,
    Fault,
    Meter,
    Peer,
    Quota,
    at_random,
    discovery,
    in_order,
    row,
)

WHO, ID = "00000000b4d65521", "00000000000000aa"
GOOD = "c=read,t=free,d=4000,units=1,spread=2,first=0"


async def opened(**how) -> tuple[BoardNode, Peer]:
    board = await BoardNode("b", **{"work_s": 0.0, **how}).start()
    return board, await Peer().open(board.port)


def test_answers_keep_the_order_of_pipelined_commands_though_begun_at_once():
    async def test():
        board, peer = await opened(slow_s=0.1, script=in_order([Fault.SLOW]))
        peer.send(call(1), call(2), resp("PING"))
        assert [(await peer.reply())[0] for _ in range(2)] == [b"call.get:%016x:0" % n for n in (1, 2)]
        assert await peer.reply() == b"PONG" and len(board.begun) == 2
        assert board.begun[1][0] - board.begun[0][0] < 0.1
        board.close()

    run(test())


def test_repeat_of_a_key_is_dropped_while_it_is_remembered_and_runs_after_a_restart():
    async def test():
        board, peer = await opened()
        first = await peer.ask(call(1, "post"))
        assert await peer.ask(call(2, "post")) == first and board.runs == {b"%016x" % 1: 1}
        await board.restart()
        peer = await Peer().open(board.port)
        assert (await peer.ask(call(3, "post")))[0] != first[0] and len(board.runs) == 2
        assert board.warm_cores() < board.cores
        board.close()

    run(test())


@pytest.mark.parametrize(
    "words",
    [
        ["CALL.GET", WHO, ID],
        ["CALL.GET", "zz", ID, GOOD],
        ["CALL.GET", WHO, "a b", GOOD],
        ["CALL.GET", WHO, ID, GOOD + ",c=x"],
        ["CALL.GET", WHO, ID, GOOD.replace("d=4000,", "")],
        ["CALL.POST", WHO, ID, GOOD],
        ["CALL.GET", WHO, ID, GOOD.replace("units=1", "units=x")],
    ],
)
def test_command_not_of_the_form_is_a_syntax_error_and_runs_nothing(words):
    async def test():
        board, peer = await opened()
        assert (await peer.ask(resp(*words))).startswith("-SYNTAX")
        assert (await peer.ask(resp("NONSENSE"))).startswith("-ERR") and not board.begun
        assert await peer.ask(resp("CLIENT", "x")) == b"OK"
        board.close()

    run(test())


def test_queue_that_is_full_and_draining_turn_away_what_never_runs():
    async def test():
        board, peer = await opened(work_s=0.05, cores=1, queue=1)
        peer.send(call(1), call(2), call(3))
        answers = [await peer.reply() for _ in range(3)]
        assert answers[2] == "-BUSY" and len(board.begun) == 2 and board.most_at_once == 1
        board.drain()
        assert await peer.ask(call(4)) == "-BUSY" and board.row()["lifecycle"] == "Terminating"
        board.close()

    run(test())


def test_client_that_leaves_takes_along_what_waits():
    async def test():
        board, peer = await opened(work_s=0.05, cores=1)
        peer.send(call(1), call(2))
        await until(lambda: len(board.waiting) == 1)
        peer.writer.close()
        await until(lambda: not board.tasks)
        assert len(board.begun) == 1 and board.busy == 0
        board.close()

    run(test())


@pytest.mark.parametrize(
    "fault, ran",
    [
        (Fault.RESET, 1),
        (Fault.HANG_UP, 0),
        (Fault.BUSY, 0),
        (Fault.ERROR, 1),
    ],
)
def test_faults_run_or_not_as_they_say(fault, ran):
    async def test():
        board, peer = await opened(script=in_order([fault]))
        try:
            answer = await peer.ask(call(1))
        except ConnectionResetError:
            answer = None
        assert answer == {Fault.BUSY: "-BUSY", Fault.ERROR: "-ERR failed"}.get(fault)
        assert len(board.begun) == ran
        board.close()

    run(test())


def test_room_that_is_cut_off_says_nothing_until_it_is_back():
    async def test():
        board, peer = await opened()
        board.cut_off()
        waiting = asyncio.ensure_future(peer.ask(call(1)))
        await asyncio.sleep(0.02)
        assert not waiting.done() and not board.begun
        board.cut_off(False)
        assert (await waiting)[0] and len(board.begun) == 1
        board.refuse()
        with pytest.raises(ConnectionRefusedError):
            await Peer().open(board.port)
        board.close()

    run(test())


def test_meter_counts_each_request_once_and_tells_the_last_period(monkeypatch):
    now = [100.2]
    monkeypatch.setattr("brackenloft.standins.meter.time.monotonic", lambda: now[0])
    meter = Meter({"p": Quota(4.0), "free": Quota(0.0)})
    for number in (1, 1, 2, 3):
        meter.count(b"%d" % number, "p", "c", 2.0)
    assert meter.used("p", "c") == 0 and meter.used("free", "c") is None and meter.total["p", "c"] == 6.0
    now[0] += 1.0
    assert meter.used("p", "c") == 150
    now[0] += 2.0
    assert meter.used("p", "c") == 0


def test_script_of_a_seed_is_the_same_every_time():
    shares = {Fault.SLOW: 0.3, Fault.ERROR: 0.2}
    drawn = [[script([]) for _ in range(200)] for script in (at_random(7, shares), at_random(7, shares))]
    assert drawn[0] == drawn[1] and set(drawn[0]) == {None, *shares}


def test_agent_tells_the_whole_list_changes_and_beats(monkeypatch):
    monkeypatch.setattr(discovery, "BEAT_S", 0.02)

    async def watch(port, query):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET /discovery/hosts{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")

        async def line(keep=writer):  # a writer that nobody holds closes itself
            size = int(await reader.readline(), 16)
            return (await reader.readexactly(size + 2))[:-2]

        return line

    async def test():
        agent = await Agent().start()
        await agent.put(row("s-1", 1), row("s-2", 2))
        line = await watch(agent.port, "?watch=1")
        whole = json.loads(await line())
        assert whole["reset"] and len(whole["instances"]) == 2 and whole["generation"] == agent.generation
        assert await line() == b"\n"
        await agent.gone("s-1")
        while (text := await line()) == b"\n":
            pass
        (gone,) = json.loads(text)["instances"]
        assert gone["lifecycle"] == "Gone" and not json.loads(text)["reset"]
        since = await watch(agent.port, f"?watch=1&from={whole['generation']}")
        assert len(json.loads(await since())["instances"]) == 1
        for number in range(2 * discovery.HISTORY):
            await agent.put(row("s-2", number))
        late = await watch(agent.port, f"?watch=1&from={whole['generation']}")
        assert json.loads(await late())["reset"]  # what changed since then is not kept
        agent.close()

    run(test())
