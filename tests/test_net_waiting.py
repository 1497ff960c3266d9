"""Requests that wait for memory, written whole to their clients' kernels: what time they have left."""

import time

import pytest
from fakes import FakeServer, array, call, node, run, until
from test_net_leaving import BODY, hold_memory

from brackenloft.standins.call_fields import call_fields

WAIT_MS, WAITED_S = 4000, 2.0


async def waiting(gateway, peer, request):
    """Its connection, once the request waits for memory."""
    peer.send(request)
    await until(lambda: gateway.clients.commands.waiting)
    (client,) = gateway.clients.commands.waiting
    return client


# Guards against final answers that come seconds too late, and deadlines as long, for purchases whose bodies
# lay in their clients' kernels while they waited.
@pytest.mark.parametrize("asked_before", [False, True])
def test_time_for_which_a_request_waited_for_memory_counts_as_its_own(asked_before):
    async def test():
        server = FakeServer(lambda words: array(b"v") if words[0] == b"CALL.GET" else None)
        async with node(server) as gateway:
            gateway.clients.most_held = 150_000
            peer = await gateway.peer()
            if asked_before:
                assert await peer.ask(call(8)) == b"v"
            commands = len(server.commands)
            await hold_memory(gateway, server, commands)
            client = await waiting(gateway, peer, call(9, "buy", body=BODY, wait=WAIT_MS))
            client.still_since -= WAITED_S
            client.paused_at -= WAITED_S
            server.writers[server.by[commands]].write(array(b"v"))
            await server.until(lambda: len(server.commands) == commands + 3)
            told_ms = float(call_fields(server.commands[-1])["d"])
            assert WAIT_MS / 4 <= told_ms <= WAIT_MS - WAITED_S * 1000.0
            assert client.still_s == 0.0  # the next request has its own time

    run(test())


# Guards against refusing at once what waits for memory on a connection that was used long before.
def test_request_that_waits_for_memory_has_its_own_time_not_that_of_the_one_before():
    async def test():
        server = FakeServer(lambda words: array(b"v") if words[0] == b"CALL.GET" else None)
        async with node(server) as gateway:
            gateway.clients.most_held = 150_000
            peer = await gateway.peer()
            assert await peer.ask(call(8)) == b"v"
            (used,) = gateway.clients.connections
            used.came_at -= 60.0
            await hold_memory(gateway, server, 1)
            client = await waiting(gateway, peer, call(9, "buy", body=BODY, wait=WAIT_MS))
            assert client is used
            gateway.clients._end_waits()
            assert client in gateway.clients.commands.waiting
            assert client.time_is_up(time.monotonic() + WAIT_MS / 1000.0)
            gateway.clients.loop.call_soon(client.refuse_partial, "the test has seen it")
            assert await peer.reply() == "-BUSY"

    run(test())
