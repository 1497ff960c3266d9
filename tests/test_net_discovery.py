"""The watch: lists and changes, what is malformed, watches that end or fall silent."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from fakes import FakeDiscovery, chunk, listing, row, run

from brackenloft import ListKind, ServerState
from brackenloft.lab import watches
from brackenloft.net import discovery as module
from brackenloft.net.discovery import Discovery

CALLS = 4  # at once, as long as none is answered
TOLD_S = 6.0  # what a silent watch misses counts as told


@asynccontextmanager
async def watched():
    """A running watch, the fake it watches, and the news that came of it."""
    fake, news = await FakeDiscovery().start(), asyncio.Queue()
    discovery = Discovery(lambda *told: news.put_nowait(told))
    discovery.watch(("127.0.0.1", fake.port))
    try:
        yield discovery, fake, news
    finally:
        discovery.end()
        fake.server.close()


def test_known_list_then_changes_and_what_was_missed_after_a_break():
    async def test():
        async with watched() as (discovery, fake, news):
            discovery.known({"generation": 41, "reset": True, "instances": [row("s-1", 1), row("s-2", 2)]})
            told, addresses = await news.get()
            assert told.kind is ListKind.CACHED and addresses == {1: ("127.0.0.1", 1), 2: ("127.0.0.1", 2)}
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1"  # the known list may be old, or another agent's
            line = listing(43, row("s-2", 2, "Terminating"), row("s-3", 3, started=9))
            for part in (line[:20], line[20:], b"\n"):  # a line over two chunks, then an empty one
                watch.write(chunk(part))
            told, addresses = await news.get()
            assert told.kind is ListKind.CHANGES and told.version == 43
            assert [(e.server, e.state, e.started_ms) for e in told.entries] == [
                (2, ServerState.DRAINING, 0.0),
                (3, ServerState.READY, 9.0),
            ]
            watch.close()
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=43"
            watch.write(chunk(listing(50, row("s-1", 7), reset=True)))
            told, addresses = await news.get()
            assert told.kind is ListKind.FULL and addresses == {1: ("127.0.0.1", 7)}

    run(test())


@pytest.mark.parametrize(
    "line",
    [
        b"{not json\n",
        b"[]\n",
        b"7\n",
        b'{"generation":2,"reset":false}\n',
        b"\xff\xfe\n",
        listing(2, {**row("s-2", 2), "hostPort": None}),
        listing(2, {**row("s-2", 2), "lifecycle": "Odd"}),
        listing(2, {**row("s-2", 2), "hostPort": "nowhere"}),
    ],
)
def test_malformed_line_is_not_fatal_and_all_is_asked_for_again(line):
    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(1, row("s-1", 1), reset=True)))
            await news.get()
            watch.write(chunk(line))
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1"
            watch.write(chunk(listing(2, row("s-1", 1), reset=True)))
            told, _ = await news.get()
            assert told.version == 2 and [entry.server for entry in told.entries] == [1]

    run(test())


@pytest.mark.parametrize("known", [None, {}, [], {"generation": 1, "reset": True, "instances": [{}]}])
def test_malformed_known_list_is_not_fatal(known):
    async def test():
        async with watched() as (discovery, fake, news):
            discovery.known(known)
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1" and news.empty()

    run(test())


def test_indented_list_is_taken_whole_cut_anywhere():
    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            line = json.dumps(json.loads(listing(1, row("s-1", 1), row("s-2", 2), reset=True)), indent=2)
            body = line.encode() + b"\n"
            for at in range(0, len(body), 7):
                watch.write(chunk(body[at : at + 7]))
            watch.write(chunk(b"\n"))  # a beat
            watch.write(chunk(listing(2, row("s-2", 2, "Terminating"))))
            told, addresses = await news.get()
            assert told.kind is ListKind.FULL and sorted(addresses) == [1, 2]
            told, _ = await news.get()
            assert [entry.state for entry in told.entries] == [ServerState.DRAINING]
            assert fake.watches.empty()  # it is still the first

    run(test())


@pytest.mark.parametrize("first", watches.BREAKS)
def test_change_is_told_in_time_after_an_open_watch_breaks_and_any_call_behind_it_fails(first):
    """In virtual time, on the real watch. It takes the place of a sum of the constants, which left out a half
    object followed by beats."""
    chains = [chain for length in (1, 2) for chain in watches.chains(length) if chain[0] is first]
    late = {chain: told for chain in chains if (told := watches.told_s(chain)) > TOLD_S}
    assert len(chains) == 10 and not late


def test_nothing_is_taken_over_from_a_list_that_is_malformed_further_on():
    told = []
    discovery = Discovery(lambda listing, _: told.append(listing))
    discovery.known({"generation": 1, "reset": True, "instances": [row("s-1", 1)]})
    for bad in (
        {**row("s-3", 3), "lifecycle": "Odd"},
        {**row("s-3", 3), "hostPort": "127.0.0.1:70000"},
        {**row("s-3", 3), "hostPort": ":9"},
        {**row("s-3", 3), "instanceId": 7},
    ):
        discovery.told({"generation": 2, "reset": True, "instances": [row("s-2", 2), bad]})
    discovery.told({"generation": float("inf"), "reset": True, "instances": [row("s-2", 2)]})
    assert len(told) == 1 and discovery.roster.numbers == {"s-1": 1}


def test_a_new_watch_that_answers_nothing_is_dead_sooner_than_one_that_has_spoken(monkeypatch):
    monkeypatch.setattr(module, "FIRST_S", 0.05)
    monkeypatch.setattr(module, "SILENT_S", 3600.0)

    async def test():
        async with watched() as (_, fake, news):
            _, silent = await fake.watch()
            async with asyncio.timeout(10.0):  # SILENT_S is far away
                target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1"
            watch.write(chunk(listing(1, row("s-1", 1), reset=True)))
            assert (await news.get())[0].version == 1
            assert silent.is_closing() or await fake.ended.get()

    run(test())


def test_watch_without_a_line_is_dead_and_replaced(monkeypatch):
    monkeypatch.setattr(module, "SILENT_S", 0.05)

    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await news.get()
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=5"

    run(test())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 500 Odd\r\nContent-Length: 2\r\n\r\n{}",
        b"junk\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_answer_that_is_no_watch_is_asked_for_again(answer):
    async def test():
        asked = asyncio.Queue()

        async def odd(reader, writer):
            asked.put_nowait(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)

        server = await asyncio.start_server(odd, "127.0.0.1", 0)
        discovery = Discovery(lambda *told: None)
        discovery.watch(server.sockets[0].getsockname())
        for _ in range(3):
            await asked.get()
        discovery.end()
        server.close()

    run(test())


def test_server_that_is_gone_is_forgotten_by_name():
    roster = module.Roster()
    roster.read({"generation": 1, "reset": True, "instances": [row("s-1", 1), row("s-2", 2)]})
    told, _ = roster.read({"generation": 2, "reset": False, "instances": [row("s-1", 1, "Gone")]})
    assert told.entries[0].state is ServerState.GONE and set(roster.numbers) == {"s-2"}
    (second,) = roster.numbers.values()
    roster.read({"generation": 3, "reset": False, "instances": [row("s-2", 2, "Gone")]})
    roster.read({"generation": 3, "reset": False, "instances": [row("s-4", 4)]})
    assert roster.numbers["s-4"] > second  # attempts on s-2 may still be out under its number
    roster.read({"generation": 3, "reset": True, "instances": [row("s-3", 3)]})
    assert set(roster.numbers) == {"s-3"}


def test_watch_that_moves_serves_from_the_old_until_the_new_has_spoken_and_asks_for_all():
    async def test():
        async with watched() as (discovery, fake, news):
            _, old = await fake.watch()
            old.write(chunk(listing(41, row("s-1", 1), row("s-2", 2), reset=True)))
            await news.get()
            for generation in (7, 3):  # more than once; versions of another agent tell nothing here
                other = await FakeDiscovery().start()
                discovery.watch(("127.0.0.1", other.port))
                target, watch = await other.watch()
                assert target == "/discovery/hosts?watch=1"
                old.write(chunk(listing(42, row("s-2", 2, "Terminating"))))
                told, _ = await news.get()
                assert told.kind is ListKind.CHANGES
                watch.write(chunk(listing(generation, row("s-2", 2), row("s-3", 3), reset=True)))
                told, addresses = await news.get()
                assert told.kind is ListKind.FULL and sorted(addresses) == [2, 3]  # s-2 keeps its number
                assert discovery.feed.address == ("127.0.0.1", other.port) and discovery.next is None
                await fake.ended.get()  # the old one has been closed
                fake, old = other, watch

    run(test())


def test_watch_that_moves_to_where_nothing_answers_is_moved_on_and_the_old_one_stays():
    async def test():
        async with watched() as (discovery, fake, news):
            _, old = await fake.watch()
            old.write(chunk(listing(1, row("s-1", 1), reset=True)))
            await news.get()
            silent, good = await FakeDiscovery().start(), await FakeDiscovery().start()
            discovery.watch(("127.0.0.1", silent.port))
            await silent.watch()
            discovery.watch(("127.0.0.1", good.port))
            await silent.ended.get()
            old.write(chunk(listing(2, row("s-1", 5))))
            assert (await news.get())[1] == {1: ("127.0.0.1", 5)}
            _, watch = await good.watch()
            watch.write(chunk(listing(9, row("s-1", 6), reset=True)))
            assert (await news.get())[1] == {1: ("127.0.0.1", 6)}

    run(test())


# Guards against an agent that answers each call a little later than it is given: none of them would be heard.
def test_call_that_is_late_is_heard_all_the_same_and_the_calls_beside_it_are_given_up(monkeypatch):
    monkeypatch.setattr(module, "FIRST_S", 0.01)
    monkeypatch.setattr(module, "BACKOFF_S", (0.01, 0.01))

    async def test():
        async with watched() as (_, fake, news):
            calls = [(await fake.watch())[1] for _ in range(CALLS)]
            monkeypatch.setattr(module, "FIRST_S", 3600.0)
            _, _newest = await fake.watch()  # in whose place the oldest one went
            calls[1].write(chunk(listing(7, row("s-1", 1), reset=True)))
            assert (await news.get())[0].version == 7
            calls[1].write(chunk(listing(8, row("s-1", 1, "Terminating"))))
            assert (await news.get())[0].version == 8
            assert fake.watches.empty()
            calls[1].close()
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=8"

    run(test())
