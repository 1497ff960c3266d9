"""The load tool: requests at their own times, each with one end; it says when it fell behind."""

from __future__ import annotations

import asyncio
import contextlib
import json
import multiprocessing
import os
import signal
import threading
from dataclasses import replace

import hiredis
import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft import Effect, Plan, RequestClass, Settings
from brackenloft import cli as program
from brackenloft.load import cli as load_cli
from brackenloft.load import client, runner, tally
from brackenloft.load.plan import Load, LoadError, Share, Step, arrivals, check

READ = RequestClass("read", 1000.0, 2000.0, Effect.SAFE)
POST = RequestClass("post", 1000.0, 2000.0, Effect.KEYED)
BUY = RequestClass("buy", 1000.0, 2000.0, Effect.UNSAFE)
SITE = Settings(3, 0, "a", (READ, POST, BUY), (Plan("bairro"), Plan("cidade")))
BASE = Load(
    (("127.0.0.1", 1),),
    (Step(200.0, 0.2),),
    (Share("read", 1.0), Share("post", 1.0)),
    (Share("bairro", 3.0), Share("cidade", 1.0)),
)
LOADS = st.builds(
    replace,
    st.just(BASE),
    steps=st.lists(st.builds(Step, st.floats(1.0, 300.0), st.floats(0.01, 0.5)), min_size=1, max_size=3).map(
        tuple
    ),
    processes=st.integers(1, 4),
    customers=st.integers(1, 50),
    seed=st.integers(0, 5),
    even=st.booleans(),
)


@settings(max_examples=60, deadline=None)
@given(LOADS)
def test_arrivals_are_in_order_within_their_time_and_the_same_for_a_seed(load):
    numbers, plans = set(), {}
    for process in range(load.processes):
        due = list(arrivals(load, process, 3))
        assert due == list(arrivals(load, process, 3))
        assert [one.at for one in due] == sorted(one.at for one in due)
        assert all(0.0 <= one.at < load.seconds() for one in due)
        assert not numbers & {one.number for one in due}
        numbers |= {one.number for one in due}
        for one in due:  # a customer has one plan and one set of gateways, in every process
            assert plans.setdefault(one.customer, (one.plan, one.first)) == (one.plan, one.first)


def test_even_processes_take_turns_at_the_whole_rate():
    load = replace(BASE, steps=(Step(100.0, 1.0),), processes=4, even=True)
    at = sorted(one.at for process in range(4) for one in arrivals(load, process, 1))
    assert len(at) == 100
    assert all(abs(b - a - 0.01) < 1e-6 for a, b in zip(at, at[1:], strict=False))


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"steps": (Step(1e6, 1.0),)}, "--stage: 1e+06 is not"),
        ({"steps": (Step(10.0, 1e5),)}, "--stage"),
        ({"steps": (Step(150_000.0, 1000.0),)}, "--stage"),
        ({"steps": ()}, "--stage"),
        ({"steps": (Step(10.0, 1.0), Step(-1.0, 1.0))}, "above 0 are wanted"),
        ({"processes": 65}, "--processes"),
        ({"connections": 0}, "--connections"),
        ({"customers": 0}, "--customers"),
        ({"addresses": ()}, "--at"),
        ({"body": 1 << 21}, "--body"),
        ({"wait_ms": -1.0}, "--wait-ms"),
        ({"classes": (Share("raed", 1.0),)}, "'raed' is none of read, post, buy"),
        ({"plans": (Share("bairro", 0.0),)}, "a weight above 0"),
        ({"classes": (Share("read", 1.0), Share("read", 1.0))}, "named once"),
        ({"plans": ()}, "one at least"),
    ],
)
def test_a_load_that_cannot_be_played_is_told_by_its_option(change, word):
    with pytest.raises(LoadError) as error:
        check(replace(BASE, **change), SITE)
    assert word in str(error.value)


def test_a_good_load_is_taken():
    assert check(BASE, SITE) is BASE


# ---- One process of clients


class Gateway:
    """Answers each command as ``answer`` says: bytes, None for nothing, b"" to hang up."""

    def __init__(self, answer):
        self.answer, self.commands, self.writers = answer, [], []
        self.news = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = ("127.0.0.1", self.server.sockets[0].getsockname()[1])
        return self

    async def serve(self, reader, writer):
        parser = hiredis.Reader()
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65536):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    self.commands.append(words)
                    self.news.set()
                    text = self.answer(words)
                    if text == b"":
                        writer.close()
                    elif text:
                        writer.write(text)
        writer.close()


async def played(load, answer, meanwhile=None):
    gateway = await Gateway(answer).start()
    crowd = client.Crowd(replace(load, addresses=(gateway.address,)), 0, SITE, client.time.monotonic())
    running = asyncio.ensure_future(crowd.run(asyncio.Event()))
    if meanwhile:
        await meanwhile(gateway, crowd)
    found = await running
    gateway.server.close()
    for writer in gateway.writers:
        writer.close()
    return gateway, crowd, found


def test_each_request_has_one_end_by_what_came(monkeypatch):
    monkeypatch.setattr(client, "LOST_S", 0.0)
    texts = [b"$2\r\nok\r\n", b"-BUSY 100\r\n", b"-ERR failed\r\n", b"", None, b"!\r\n"]
    order = iter(range(10_000))

    async def scenario():
        return await played(replace(BASE, wait_ms=150.0), lambda _: texts[next(order) % len(texts)])

    gateway, crowd, found = uvloop.run(scenario())
    counts = found.total()
    assert tally.unaccounted(found) == 0 and counts["due"] == counts["sent"] == len(gateway.commands)
    whole = counts["due"] // len(texts)
    assert min(counts[end] for end in ("served", "refused", "failed", "missing")) >= whole
    assert counts["broken"] >= 2 * whole  # hung up, and what can't be read
    assert found.connects >= counts["broken"] + counts["missing"]  # none is used again
    assert crowd.out == 0


def test_what_is_sent_is_of_the_protocols_form():
    async def scenario():
        return await played(
            replace(BASE, classes=(Share("read", 1.0), Share("post", 1.0), Share("buy", 1.0)), body=5),
            lambda _: b"$2\r\nok\r\n",
        )

    gateway, _, _ = uvloop.run(scenario())
    from brackenloft.standins.call_fields import call_fields

    seen = set()
    for words in gateway.commands:
        fields = call_fields(words)
        assert fields and fields["d"] == "2000" and fields["spread"] == "3"
        assert ("k" in fields) == (fields["c"] == "post")
        assert (words[0] == b"CALL.POST") == (fields["c"] != "read") == (len(words) == 5)
        seen.add(fields["c"])
    assert seen == {"read", "post", "buy"}
    ids = [words[2] for words in gateway.commands]
    assert len(set(ids)) == len(ids)


def test_requests_go_out_at_their_times_though_nothing_is_answered():
    async def scenario():
        async def until_all_are_there(gateway, crowd):
            while crowd.next or not len(gateway.commands) >= crowd.tally.total()["due"] > 0:
                gateway.news.clear()
                await gateway.news.wait()
            for writer in gateway.writers:
                writer.write(b"$2\r\nok\r\n")

        return await played(replace(BASE, connections=500), lambda _: None, until_all_are_there)

    _, _, found = uvloop.run(scenario())
    counts = found.total()
    assert counts["served"] == counts["due"] == found.connects > 0


def test_a_tool_that_falls_behind_says_so_and_gives_up_what_is_too_late():
    async def scenario():
        return await played(replace(BASE, connections=1, wait_ms=100.0), lambda _: None)

    gateway, _, found = uvloop.run(scenario())
    counts = found.total()
    assert counts["not_sent"] > 0 and tally.unaccounted(found) == 0
    assert len(gateway.commands) == counts["sent"] < counts["due"]
    last = tally.summary(found, 0.2, 1)
    assert last["fell_behind"] and "late or not at all" in last["why"]
    assert "waited for a connection" in last["why"]


def test_time_counts_from_when_a_request_was_due():
    async def scenario():
        async def answer_the_first_when_others_wait(gateway, crowd):
            while not gateway.commands or crowd.next:
                await asyncio.sleep(0.001)
            gateway.answer = lambda _: b"$2\r\nok\r\n"
            gateway.writers[0].write(b"$2\r\nok\r\n")

        return await played(replace(BASE, connections=1), lambda _: None, answer_the_first_when_others_wait)

    _, _, found = uvloop.run(scenario())
    counts = found.total()
    assert counts["served"] == counts["due"] > 1
    assert found.all_times().get_min_value() >= found.service.get_min_value()
    assert counts["late"] > 0 and found.delay.get_max_value() > found.service.get_value_at_percentile(50.0)


def test_a_gateway_that_is_not_there_costs_its_requests_and_no_more():
    async def scenario():
        crowd = client.Crowd(replace(BASE, wait_ms=50.0), 0, SITE, client.time.monotonic())
        return await crowd.run(asyncio.Event())

    found = uvloop.run(scenario())
    counts = found.total()
    assert counts["due"] == counts["not_sent"] > 0 and not counts["sent"]


def test_waiting_requests_are_bounded(monkeypatch):
    monkeypatch.setattr(client, "MOST_WAITING", 3)

    async def scenario():
        return await played(replace(BASE, connections=1), lambda _: b"")

    _, crowd, found = uvloop.run(scenario())
    assert found.most_waiting <= 3 and tally.unaccounted(found) == 0 and not crowd.waiting


def test_stopping_early_ends_every_request():
    async def scenario():
        gateway = await Gateway(lambda _: None).start()
        load = replace(BASE, addresses=(gateway.address,), steps=(Step(200.0, 60.0),))
        crowd, stop = client.Crowd(load, 0, SITE, client.time.monotonic()), asyncio.Event()
        running = asyncio.ensure_future(crowd.run(stop))
        while len(gateway.commands) < 20:
            gateway.news.clear()
            await gateway.news.wait()
        stop.set()
        found = await running
        await asyncio.sleep(0)
        gateway.server.close()
        return crowd, found

    crowd, found = uvloop.run(scenario())
    assert tally.unaccounted(found) == 0 and crowd.out == 0


# ---- Tallies


ENDED = st.lists(
    st.tuples(
        st.floats(0.0, 5.0),
        st.floats(0.0, 3.0),
        st.sampled_from(["read", "post"]),
        st.sampled_from(tally.ENDS),
    ),
    max_size=30,
)


def told(rows):
    made = tally.Tally()
    for at, more, kind, end in rows:
        made.due(at, kind)
        if end != "not_sent":
            made.sent(at, at + more / 100.0, kind)
        made.ended(at, at + more / 100.0, at + more, kind, end)
    return made


@settings(max_examples=60, deadline=None)
@given(ENDED, ENDED)
def test_two_processes_add_up_to_one_also_on_the_way(first, second):
    apart, whole = told(first), told(first + second)
    apart.add(tally.unpacked(json.loads(json.dumps(told(second).packed(), default=bytes.decode))))
    assert tally.rows(apart) == tally.rows(whole)
    assert tally.summary(apart, 5.0, 2) == tally.summary(whole, 5.0, 2)
    assert tally.unaccounted(whole) == 0
    served = sum(end == "served" for *_, end in first + second)
    assert whole.all_times().get_total_count() == whole.service.get_total_count() == served


def test_late_ones_and_those_never_sent_make_it_fall_behind():
    good = [(0.0, 0.1, "read", "served")] * 198
    assert tally.fell_behind(told(good), 200.0) == ""
    late = told(good)
    for _ in range(2):
        late.due(1.0, "read")
        late.sent(1.0, 1.0 + 2 * tally.LATE_S, "read")
        late.ended(1.0, 1.02, 1.03, "read", "served")
    assert tally.late_share(late) == 0.01 and tally.fell_behind(late, 200.0) == ""
    late.due(1.0, "read")
    late.ended(1.0, 0.0, 3.0, "read", "not_sent")
    assert "1.5% of 201" in tally.fell_behind(late, 201.0)


# ---- The command, its processes


FILE = """
listen = "127.0.0.1:{port}"
discovery = "127.0.0.1:1"
[[classes]]
name = "read"
aim_ms = 500.0
deadline_ms = 1000.0
effect = "safe"
[[plans]]
name = "bairro"
"""


@contextlib.contextmanager
def serving(tmp_path, answer):
    """A gateway in a thread, and the file that names it."""
    ready, box = threading.Event(), {}

    def main():
        async def serve():
            box["gateway"] = await Gateway(answer).start()
            box["loop"], box["stop"] = asyncio.get_running_loop(), asyncio.Event()
            ready.set()
            await box["stop"].wait()
            for writer in box["gateway"].writers:
                writer.transport.abort()

        asyncio.run(serve())

    thread = threading.Thread(target=main)
    thread.start()
    ready.wait()
    path = tmp_path / "gateway.toml"
    path.write_text(FILE.format(port=box["gateway"].address[1]))
    try:
        yield path, box["gateway"]
    finally:
        box["loop"].call_soon_threadsafe(box["stop"].set)
        thread.join()


def test_the_command_plays_in_several_processes_and_tells_in_json_lines(tmp_path, capfd):
    out = tmp_path / "out.jsonl"
    with serving(tmp_path, lambda _: b"$2\r\nok\r\n") as (path, gateway):
        stages = ["--stage", "100x0.5", "--stage", "200x0.5", "--even", "--processes", "2"]
        code = program.main(["load", "--config", str(path), *stages, "--out", str(out)])
    lines = [json.loads(line) for line in out.read_text().splitlines()]
    printed = json.loads(capfd.readouterr().out)
    assert lines[-1] == printed and sum(line["due"] for line in lines[:-1]) == printed["due"] == 150
    assert printed["served"] == 150 == len(gateway.commands) and printed["processes"] == 2
    assert code == (load_cli.BEHIND if printed["fell_behind"] else 0)
    assert {"p50_ms", "p99_ms", "max_ms"} <= set(printed) and printed["classes"]["read"]["served"] == 150


def test_a_process_that_is_killed_is_told_and_the_others_count(tmp_path, capfd):
    def kill_one():
        while len(gateway.commands) < 20:
            gateway_news.wait(0.01)
        os.kill(multiprocessing.active_children()[0].pid, signal.SIGKILL)

    gateway_news = threading.Event()
    with serving(tmp_path, lambda _: b"$2\r\nok\r\n") as (path, gateway):
        killer = threading.Thread(target=kill_one)
        killer.start()
        code = program.main(["load", "--config", str(path), "--stage", "100x1", "--processes", "2"])
        killer.join()
    read = capfd.readouterr()
    assert code == load_cli.INCOMPLETE and "ended with -9" in read.err
    assert 0 < json.loads(read.out)["due"] < len(gateway.commands) + 100


def test_a_gateway_that_answers_nothing_makes_the_tool_say_that_it_fell_behind(tmp_path, capfd):
    with serving(tmp_path, lambda _: None) as (path, _):
        code = program.main(
            ["load", "--config", str(path), "--stage", "100x0.3", "--connections", "1", "--wait-ms", "50"]
        )
    read = capfd.readouterr()
    assert code == load_cli.BEHIND and "fell behind" in read.err and json.loads(read.out)["fell_behind"]


@pytest.mark.parametrize(
    ("words", "text"),
    [
        (["--stage", "ten"], "--stage: not RATExSECONDS: 'ten'"),
        (["--stage", "1.2.3x4"], "not RATExSECONDS"),
        (["--class", "read=x"], "--class: not NAME=WEIGHT"),
        (["--class", "write"], "'write' is none of read"),
        (["--plan", "cidade"], "'cidade' is none of bairro"),
        (["--at", "nowhere"], "--at: not host:port"),
        (["--customers", "0"], "--customers"),
        (["--nothing"], "No such option"),
    ],
)
def test_wrong_words_are_one_line_and_code_2(tmp_path, capsys, words, text):
    path = tmp_path / "gateway.toml"
    path.write_text(FILE.format(port=1))
    assert program.main(["load", "--config", str(path), *words]) == 2
    read = capsys.readouterr()
    assert text in read.err and read.err.count("\n") == 1 and not read.out


def test_a_file_that_cannot_be_read_is_told(tmp_path, capsys):
    assert program.main(["load", "--config", str(tmp_path / "none.toml")]) == 2
    assert "can't be read" in capsys.readouterr().err


def test_processes_that_say_nothing_are_given_up():
    faults = []
    ours, theirs = multiprocessing.Pipe()
    assert runner._gather({ours: None}, 0.05, faults) == {} and "said nothing" in faults[0]
    theirs.close()
    ours.close()


def test_without_its_extra_the_command_names_it(monkeypatch, capsys):
    import sys

    for name in [name for name in sys.modules if name.startswith(("hdrh", "brackenloft.load"))]:
        monkeypatch.delitem(sys.modules, name)
    monkeypatch.setitem(sys.modules, "hdrh", None)
    monkeypatch.setitem(sys.modules, "hdrh.histogram", None)
    assert program.main(["load"]) == 2
    assert "load wants the extra [load]: hdrh" in capsys.readouterr().err
