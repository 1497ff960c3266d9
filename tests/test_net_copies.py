"""Two attempts of one request that are out at once: the one that is answered first has the request."""

from dataclasses import replace

import pytest
from fakes import SETTINGS, call, node, pass_time, run, until
from test_net_streams import HEAD, LONG, TAIL, quiet

TWICE = replace(SETTINGS.limits, may_duplicate=True)
COPY_MS = 1100.0  # half of the aim of a read, and a little: then a second copy goes out


async def passed_on(gateway, servers):
    """A client, and the servers of its request's attempts; the second one's value has begun to come."""
    peer = await gateway.peer()
    peer.send(call(1))
    await until(lambda: any(server.commands for server in servers))
    slow, quick = sorted(servers, key=lambda server: not server.commands)
    pass_time(gateway, COPY_MS)
    await quick.until(lambda: quick.commands)
    quick.writers[0].write(HEAD + LONG[:5000])
    return peer, slow, quick


# Guards against a losing attempt's value that ends the one which is being passed on.
@pytest.mark.parametrize("whole", [False, True])
def test_second_value_of_a_request_leaves_the_one_that_is_passed_on_alone(whole):
    async def test():
        servers = [quiet(), quiet()]
        async with node(*servers, limits=TWICE) as gateway:
            peer, slow, quick = await passed_on(gateway, servers)
            head = b"$%d\r\n" % len(LONG)
            assert await peer.reader.readexactly(len(head) + 5000) == head + LONG[:5000]
            slow.writers[0].write(HEAD + (LONG + TAIL if whole else LONG[:5000]))
            await slow.until(lambda: slow.ended == 1)
            quick.writers[0].write(LONG[5000:] + TAIL)
            assert await peer.reader.readexactly(len(LONG) - 5000 + 2) == LONG[5000:] + b"\r\n"
            await until(lambda: not gateway.driver.calls)
            assert gateway.driver.tallies["read"].passed == 1 and gateway.driver.obligations.breaches == {}
            assert not gateway.servers.streams.open and not gateway.servers.streams.held

    run(test())


# Guards against a value that breaks off, as the attempt that lost is told to have given it.
def test_value_that_breaks_off_behind_a_second_one_has_failed_once():
    async def test():
        servers = [quiet(), quiet()]
        async with node(*servers, limits=TWICE) as gateway:
            peer, slow, quick = await passed_on(gateway, servers)
            await peer.reader.readexactly(5000)
            slow.writers[0].write(HEAD + LONG[:5000])
            await slow.until(lambda: slow.ended == 1)
            quick.writers[0].close()
            assert len(await peer.reader.read()) < len(LONG)
            await until(lambda: not gateway.driver.calls)
            assert gateway.driver.tallies["read"].failed == 1
            assert not gateway.servers.streams.open

    run(test())
