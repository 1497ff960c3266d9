"""Requests whose connections are not read to the end as the process ends: none is closed over."""

import asyncio

import pytest
from fakes import FakeServer, call, node, run, until

from brackenloft.edge import edge as edge_module
from brackenloft.net import listener as listener_module

BODY = b"x" * 60_000
PURCHASE = call(3, "buy", body=BODY)


async def hold_memory(gateway, server, commands=0):
    """Two clients whose long requests take the memory, behind so many commands; no server answers them."""
    holders = [await gateway.peer() for _ in range(2)]
    for number, peer in enumerate(holders):
        peer.send(call(number, "buy", body=BODY))
    await server.until(lambda: len(server.commands) == commands + 2)
    return holders


# Guards against closing, unanswered, requests that were written whole and waited for memory to be read.
@pytest.mark.parametrize("written", [len(PURCHASE), 50_000], ids=["whole", "in part"])
def test_request_that_waits_for_memory_is_refused_when_the_process_ends(written):
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            gateway.clients.most_held = 150_000
            holders = await hold_memory(gateway, server)
            peer = await gateway.peer()
            peer.send(PURCHASE[:written])
            await until(lambda: gateway.clients.commands.waiting)
            await gateway.edge.close(0.1)
            assert [await holder.reply() for holder in holders] == ["-ERR failed"] * 2
            # The holders are failed a moment before the end, so that it may still be read whole and taken.
            assert await peer.reply() in ("-BUSY", "-ERR failed")
            assert await peer.reply() is None
            assert gateway.driver.obligations.breaches == {}

    run(test())


# Guards against closing, unanswered, requests that have their memory and come slowly.
@pytest.mark.parametrize("behind", [False, True], ids=["alone", "behind a request in hand"])
@pytest.mark.parametrize("size", [20, 30_000])
def test_request_that_is_read_in_part_is_refused_when_the_process_ends(size, behind):
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            if behind:
                peer.send(call(1))
                await server.until(lambda: len(server.commands) == 1)
            peer.send(PURCHASE[:size])
            await until(lambda: any(client.reader.left == size for client in gateway.clients.connections))
            await gateway.edge.close(0.1)
            if behind:
                assert await peer.reply() in ("-BUSY", "-ERR failed")
            assert [await peer.reply(), await peer.reply()] == ["-BUSY", None]
            assert gateway.driver.obligations.breaches == {}

    run(test())


# Guards against ending without a word the connection of a client that writes slowly while it empties.
def test_request_that_comes_slowly_is_refused_when_emptying_has_taken_its_time():
    async def test():
        async with node(FakeServer()) as gateway:
            peer = await gateway.peer()
            peer.send(PURCHASE[:30_000])
            await until(lambda: any(client.reader.left == 30_000 for client in gateway.clients.connections))
            gateway.clients.stop_listening(0.0)
            assert [await peer.reply(), await peer.reply()] == ["-BUSY", None]
            await until(lambda: not gateway.clients.connections)
            assert gateway.driver.obligations.breaches == {}

    run(test())


# Guards against ending before the time is up, while the last connections of a crowd are handed to the loop.
def test_process_ends_only_when_connections_that_were_accepted_have_been_answered(monkeypatch):
    handed = asyncio.Event()
    hand_over = listener_module.hand_over

    async def held_up(*arguments):
        await handed.wait()
        await hand_over(*arguments)

    monkeypatch.setattr(listener_module, "hand_over", held_up)
    monkeypatch.setattr(edge_module, "LOOK_S", 0.0)

    async def test():
        async with node(FakeServer()) as gateway:
            clients, peer = gateway.clients, await gateway.peer()
            peer.send(call(1))
            await until(lambda: clients.tasks)
            closing = asyncio.ensure_future(gateway.edge.close(5.0))
            await until(lambda: not clients.listener and not clients.queue)
            assert clients.tasks and not clients.connections
            for _ in range(20):  # looks whether all has been done
                await asyncio.sleep(0)
            handed.set()
            assert [await peer.reply(), await peer.reply()] == [b"%016x" % 1, None]
            await closing

    run(test())
