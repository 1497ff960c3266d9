"""A registry on loopback and an edge that follows it: states, faults, outages, restarts."""

import asyncio

import pytest
from fakes import run, until
from hypothesis import given, settings
from hypothesis import strategies as st
from registry import READ, document, fleet, info, many, unix_ms

from benchmarks.membership import flips
from brackenloft import ServerState
from brackenloft.edge import Served
from brackenloft.lifecycle import Event, State
from brackenloft.membership import config
from brackenloft.membership.eureka import client
from brackenloft.membership.eureka import registrar as registrar_module
from brackenloft.membership.eureka.lease import Lease, Step
from brackenloft.membership.eureka.registrar import Entry, Registrar
from brackenloft.standins import Agent, BoardNode
from brackenloft.standins.eureka import Faults, Registry, RegistryServer


def test_nodes_of_the_registry_serve_and_one_taken_out_of_service_gets_nothing_new():
    async def test():
        async with fleet("a", "b") as world:
            await until(lambda: world.ready() == {"a", "b"})
            assert all(isinstance(answer, Served) for answer in await many(world))
            assert all(board.begun for board in world.boards.values())
            world.book.override("BOARD", "a", "OUT_OF_SERVICE")
            await until(lambda: world.ready() == {"b"})
            begun = len(world.boards["a"].begun)
            assert all(isinstance(answer, Served) for answer in await many(world))
            assert len(world.boards["a"].begun) == begun
            world.book.override("BOARD", "a", None)
            await until(lambda: world.ready() == {"a", "b"})
            assert world.eureka.tally.whole == 1  # all the rest came by deltas

    run(test())


def test_each_state_but_up_is_withdrawn():
    async def test():
        async with fleet("a", "b") as world:
            for state in ("DOWN", "STARTING", "OUT_OF_SERVICE", "UNKNOWN", "whatever"):
                world.book.renew("BOARD", "a", state)
                await until(lambda: world.ready() == {"b"})
                world.book.renew("BOARD", "a", "UP")
                world.members.merge.flaps.returns.clear()  # the test of flapping is another one
                await until(lambda: world.ready() == {"a", "b"})
            world.book.cancel("BOARD", "a")
            await until(lambda: len(world.members.merge.nodes) == 1)

    run(test())


def test_an_outage_is_served_through_and_news_is_believed_at_once_when_it_is_back():
    async def test():
        async with fleet("a", "b", stale_after_s=0.3) as world:
            await until(lambda: world.ready() == {"a", "b"})
            await world.skin.close()
            end = world.members.clock() + 1000.0  # stale after 0.3 s; a minute is as much of 25 s
            while world.members.clock() < end:
                assert all(isinstance(answer, Served) for answer in await many(world))
            assert world.members.merge.stale(world.members.clock()) and world.ready() == {"a", "b"}
            world.book.override("BOARD", "a", "OUT_OF_SERVICE")
            await world.skin.start(world.skin.port)
            await until(lambda: world.ready() == {"b"})
            assert not world.members.merge.stale(world.members.clock())

    run(test())


# ---- A registry that fails


FAULTS = {
    "an error": {"status": 503},
    "half a document": {"cut": 0.5},
    "no document": {"body": b"<html>"},
    "something else": {"body": b'{"error": "no"}'},
    "another coding": {"encoding": "br"},
    "another coding said": {"encoding": "br", "no_gzip": True},
    "a coding that it is not": {"encoding": "gzip", "no_gzip": True},
    "a byte at a time": {"byte_s": 0.05},
    "a redirect": {"status": 302},
    "another type": {"headers": {"Content-Type": "text/html"}},
}


@pytest.mark.parametrize("fault", FAULTS)
def test_what_cannot_be_read_leaves_the_last_list_and_is_said_once(fault, caplog):
    async def test():
        # Only what is too slow by itself is to fail by its time: a busy machine's answer would be said too.
        timeout_s = 0.4 if "byte_s" in FAULTS[fault] else 30.0
        async with fleet("a", "b", timeout_s=timeout_s, stale_after_s=0.5) as world:
            await until(lambda: world.ready() == {"a", "b"})
            world.skin.faults = Faults(**FAULTS[fault])
            world.book.override("BOARD", "a", "OUT_OF_SERVICE")
            await until(lambda: world.eureka.tally.failed >= 3)
            assert world.ready() == {"a", "b"}
            assert all(isinstance(answer, Served) for answer in await many(world))
            said = [line for line in caplog.messages if "what is known stays" in line]
            assert len(said) == 1 and "/eureka/v2" in said[0]
            world.skin.faults = Faults()
            await until(lambda: world.ready() == {"b"})

    run(test())


def test_a_small_body_that_unpacks_to_fill_the_memory_is_given_up(monkeypatch, caplog):
    async def test():
        async with fleet("a") as world:
            monkeypatch.setattr(client, "MOST_BYTES", 100_000)
            world.skin.faults = Faults(body=b" " * 50_000_000)
            await until(lambda: world.eureka.tally.failed == 1)
            assert world.eureka.tally.bytes < 100_000 and "more than 100000 bytes" in caplog.text

    run(test())


def test_an_empty_list_after_a_restart_keeps_the_fleet_and_cools_nobody():
    async def test():
        async with fleet("a", "b", "c") as world:
            await until(lambda: world.ready() == {"a", "b", "c"})
            servers = world.edge.driver.gateway.fleet.servers
            before = {number: node.started for number, node in servers.items()}
            world.book.restart()
            await until(lambda: world.members.merge.held() == 3)
            assert world.ready() == {"a", "b", "c"}
            assert all(isinstance(answer, Served) for answer in await many(world))
            for name in world.boards:
                world.register(name)
            await until(lambda: world.members.merge.held() == 0)
            # the same nodes under the same numbers, none of them cold
            assert {number: node.started for number, node in servers.items()} == before

    run(test())


def test_nodes_that_stay_missing_are_let_go_when_the_hold_is_over():
    async def test():
        async with fleet("a", "b", hold_s=0.5) as world:
            await until(lambda: world.ready() == {"a", "b"})
            world.book.restart()
            world.register("a")
            await until(lambda: len(world.members.merge.nodes) == 1)
            assert world.ready() == {"a"}

    run(test())


def test_deltas_that_are_lost_show_in_the_count():
    async def test():
        async with fleet("a", "b") as world:
            await until(lambda: world.eureka.tally.deltas >= 1)
            world.skin.faults = Faults(lose_deltas=True)
            world.book.override("BOARD", "a", "OUT_OF_SERVICE")
            await until(lambda: world.ready() == {"b"})
            assert world.eureka.tally.whole == 2 and world.eureka.tally.wrong == 1

    run(test())


def test_a_registry_that_gives_no_count_contradicts_nothing():
    async def test():
        async with fleet("a", "b") as world:
            world.skin.faults = Faults(no_count=True)
            world.book.override("BOARD", "a", "OUT_OF_SERVICE")
            await until(lambda: world.ready() == {"b"})
            deltas = world.eureka.tally.deltas
            await until(lambda: world.eureka.tally.deltas >= deltas + 2)
            assert world.eureka.tally.whole == 1 and world.eureka.tally.wrong == 0

    run(test())


def test_a_registry_without_deltas_and_one_with_tags():
    async def test():
        async with fleet("a", "b") as world:
            world.skin.faults = Faults(no_delta=True, headers={"ETag": '"1"'})
            await until(lambda: world.eureka.tally.whole >= 2)
            world.skin.faults = Faults(status=304, no_delta=True)
            await until(lambda: world.eureka.tally.unchanged >= 2)
            assert world.ready() == {"a", "b"} and not world.eureka.tally.failed
            world.skin.faults = Faults(no_delta=True)
            world.book.cancel("BOARD", "a")
            await until(lambda: world.ready() == {"b"} or world.members.merge.held() == 1)

    run(test())


@pytest.mark.parametrize(
    "more",
    [
        {"xml": True},
        {"compact": True},
        {"vip": "board"},
        {"vips": ["board"]},
        {"xml": True, "compact": True, "deltas": False},
    ],
)
def test_each_form_that_can_be_asked_for(more):
    async def test():
        async with fleet("a", "b", **more) as world:
            await until(lambda: world.ready() == {"a", "b"})
            world.book.override("BOARD", "a", "OUT_OF_SERVICE")
            await until(lambda: world.ready() == {"b"})
            targets = {target for _, target in world.skin.asked}
            assert any("/vips/board" in target for target in targets) is ("vip" in more)
            if "vip" in more:
                world.book.restart()  # nobody is under the address: 404
                await until(lambda: world.members.merge.held() == 2)
            assert not world.eureka.tally.failed

    run(test())


def test_the_next_server_is_asked_when_one_is_dead_and_those_of_the_own_zone_come_first():
    async def test():
        book = Registry(unix_ms)
        skins = [await RegistryServer(book).start() for _ in range(3)]
        table = document([])
        table["eureka"][0]["servers"] = [
            {"url": skin.url, "zone": zone} for skin, zone in zip(skins, ["z", "a", ""], strict=True)
        ]
        async with fleet("a", table=table, book=book) as world:
            assert not skins[0].asked and skins[1].asked
            await skins[1].close()
            await until(lambda: world.eureka.tally.failed >= 1)
            await skins[0].until_asked(2)
            assert not skins[2].asked and world.ready() == {"a"}
        for skin in skins:
            await skin.close()

    run(test())


# ---- Identity


def test_an_attempt_at_a_node_that_was_replaced_counts_nothing_at_the_new_one():
    async def test():
        async with fleet("a") as world:
            world.boards["a"].work_s = 0.5
            slow = asyncio.ensure_future(world.edge.call(READ))
            fleet_of = world.edge.driver.gateway.fleet
            await until(lambda: any(server.out for server in fleet_of.servers.values()))
            (old,) = fleet_of.servers
            world.book.cancel("BOARD", "a")
            world.book.register("BOARD", info("new", world.boards["a"].port))
            await until(lambda: world.ready() == {"new"} and len(fleet_of.servers) == 1)
            (new,) = fleet_of.servers.values()
            assert new.id != old and not new.out and not new.marks and new.started > 0.0
            assert not world.edge.servers.hosts[new.id].idle
            assert isinstance(await slow, Served) and not new.marks

    run(test())


def test_a_node_that_only_a_stale_list_names_and_that_is_dead_is_out():
    async def test():
        async with fleet("a", "b", stale_after_s=0.3) as world:
            await until(lambda: world.ready() == {"a", "b"})
            await world.skin.close()
            world.boards["a"].close()
            await until(lambda: bool(world.members.merge.stale(world.members.clock())))
            while world.ready() != {"b"}:
                assert all(isinstance(answer, Served) for answer in await many(world))
            assert world.members.figures()["out"] == 1
            await world.boards["a"].start()
            await world.skin.start(world.skin.port)
            await until(lambda: world.ready() == {"a", "b"})

    run(test())


# ---- Beside other sources


@pytest.mark.parametrize("combine", ["union", "fallback"])
def test_discovery_and_a_registry_together(combine):
    async def test():
        agent, board = await Agent().start(), await BoardNode("d", work_s=0.0).start()
        await agent.put(board.row())
        book = Registry(unix_ms)
        skin = await RegistryServer(book).start()
        table = document([skin.url], stale_after_s=0.4) | {
            "combine": combine,
            "order": ["agent", "registry", "file"],
            "discovery": [{"name": "agent", "address": f"127.0.0.1:{agent.port}"}],
            "listed": [{"name": "file", "nodes": [{"name": "f", "host": "127.0.0.1", "port": 9}]}],
        }
        async with fleet("a", table=table, book=book) as world:
            union = combine == "union"
            names = {name for name, _, _ in world.members.merge.nodes}
            await until(
                lambda: (
                    {n for n, *_ in world.members.merge.nodes} == ({"d", "BOARD/a", "f"} if union else {"d"})
                )
            )
            board.draining = True
            await agent.put(board.row())
            await until(
                lambda: (
                    not any(
                        node.entry.state is ServerState.READY
                        for key, node in world.members.merge.nodes.items()
                        if key[0] == "d"
                    )
                )
            )
            await agent.gone("d")
            await until(
                lambda: (
                    {n for n, *_ in world.members.merge.nodes} == ({"BOARD/a", "f"} if union else {"BOARD/a"})
                )
            )
            assert names
        agent.close()
        board.close()
        await skin.close()

    run(test())


# ---- Our own entry


def test_the_gateway_registers_itself_and_is_seen_as_it_is():
    async def test():
        async with fleet("a") as world:
            entry = Entry((world.skin.url,), "gateway", "gw-1", "127.0.0.1", 6379, zone="a", interval_s=0.2)
            registrar = Registrar(world.edge, entry)

            def shown() -> str | None:
                lease = world.book.leases.get(("GATEWAY", "gw-1"))
                return lease.shown if lease else None

            await until(lambda: shown() == "UP")
            renewed = len(world.book.renewals)
            await until(lambda: len(world.book.renewals) > renewed)
            world.book.restart()  # forgets us: 404 at the next renewal
            await until(lambda: shown() == "UP")
            world.edge.lifecycle.happens(Event.DRAIN)
            await until(lambda: shown() == "OUT_OF_SERVICE")
            world.edge.lifecycle.happens(Event.RESUME)
            await until(lambda: shown() == "UP")
            await registrar.close()
            assert shown() is None and not world.edge.watchers

    run(test())


def test_a_file_that_names_no_entry_registers_nothing():
    async def test():
        async with fleet("a") as world:
            loaded = config.read(document([world.skin.url]))
            membership = config.run(loaded, world.edge, ("127.0.0.1", 1))
            assert membership.registrar is None
            await membership.withdraw()
            await membership.close()
            assert not [path for method, path in world.skin.asked if method == "POST"]

    run(test())


def test_leaving_does_not_wait_for_a_registry_that_is_silent(monkeypatch):
    async def test():
        monkeypatch.setattr(registrar_module, "WITHDRAW_S", 0.05)
        async with fleet("a") as world:
            registrar = Registrar(world.edge, Entry((world.skin.url,), "gateway", "gw-1", "127.0.0.1", 6379))
            await until(lambda: registrar.lease.told == "UP")
            world.skin.faults = Faults(wait=asyncio.Event())
            await registrar.close()
            assert ("GATEWAY", "gw-1") in world.book.leases

    run(test())


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([200, 204, 404, 500, None]),
            st.floats(0.0, 60_000.0),
            st.none() | st.sampled_from(list(State)),
        ),
        max_size=40,
    )
)
def test_the_lease_is_never_told_too_often_and_ends(answers):
    lease, now, registered = Lease(3, 30_000.0), 0.0, -1e9
    for code, wait, state in answers:
        if state:
            lease.state(state)
        todo = lease.next()
        now = max(now, todo.at) + (wait if code is None else 0.0)
        if todo.step is Step.REGISTER:
            assert now - registered >= 999.9
            registered = now if code in (200, 204) else registered
        lease.answered(now, todo.step, lease.status, code, 0.5)
        assert lease.next().at <= now + 33_000.0  # something is always to be done within an interval
    lease.leave()
    for _ in range(3):
        if todo := lease.next():
            assert todo.step is Step.WITHDRAW
            lease.answered(now, todo.step, lease.status, None, 0.5)
    assert lease.next() is None


# ---- Flips under traffic


def test_no_new_work_reaches_a_withdrawn_node_after_it_was_learned():
    """A few of the flips of ``benchmarks.membership``, which plays thousands."""

    async def test():
        verdict = await flips(300, seed=2, pause_s=0.01)
        print(verdict)
        assert verdict["withdrawals"] > 20 and verdict["late_sends"] == 0
        assert set(verdict["answers"]) == {"Served"}

    run(test())
