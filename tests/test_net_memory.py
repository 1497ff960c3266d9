"""What a request held is free at its end, without the cyclic garbage collector, which counts no bytes."""

import gc

import pytest
from fakes import FakeServer, array, call, node, run, until

LONG = b"x" * 300_000
ENDED = 20  # requests of each kind


class Unreachable:
    """Objects of the gateway that only the cyclic garbage collector would free."""

    def __enter__(self):
        gc.collect()
        gc.disable()
        gc.set_debug(gc.DEBUG_SAVEALL)
        return self

    def found(self):
        gc.collect()
        kinds = {type(one) for one in gc.garbage}
        return {kind.__name__ for kind in kinds if kind.__module__.startswith("brackenloft.net")}

    def __exit__(self, *error):
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


async def served(gateway):
    """Long bodies, short and long values, on a connection that is kept and on new ones."""
    peer = await gateway.peer()
    for number in range(ENDED):
        assert await peer.ask(call(number, "buy", body=LONG)) == b"v"
        other = await gateway.peer()
        assert await other.ask(call(1000 + number, "read")) == LONG
        other.writer.close()


async def left(gateway):
    """Clients that leave while a request is out, within a command and within a value."""
    for number in range(ENDED):
        post = call(number, "buy", body=LONG)
        for text in (post, post[:-9], call(1000 + number)):
            peer = await gateway.peer()
            peer.send(text)
            await peer.writer.drain()
            peer.writer.close()


async def refused(gateway):
    """Commands that can't be read, that are beyond the quota, and those whose server hangs up."""
    peer = await gateway.peer()
    for number in range(ENDED):
        assert (await peer.ask(call(number, "buy", plan="none", body=LONG))).startswith("-ERR")
        assert (await peer.ask(call(number, "buy", plan="tiny", body=LONG))) in (b"v", "-BUSY")
        assert (await peer.ask(call(2000 + number, "buy", body=LONG))) == "-ERR failed"


def answer(words):
    number = int(words[2], 16)
    return b"" if number >= 2000 else array(LONG if number >= 1000 else b"v")


# Guards against bodies and values that stay in memory after their requests, in cycles that nothing counts.
@pytest.mark.parametrize("clients", [served, left, refused])
def test_requests_that_have_ended_leave_nothing_to_the_garbage_collector(clients):
    async def test():
        async with node(FakeServer(answer)) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(500, "buy")) == b"v"
            with Unreachable() as unreachable:
                await clients(gateway)
                peer.writer.close()
                await until(lambda: not gateway.driver.calls)
                assert unreachable.found() == set()

    run(test())


# Guards against idle connections that keep the last body or value that came on them.
def test_idle_connections_hold_nothing_of_what_was_read_on_them():
    async def test():
        async with node(FakeServer(lambda words: array(b"v" * 50_000))) as gateway:
            peer = await gateway.peer()
            text = call(1, "buy", body=LONG)
            peer.send(text[:1000])
            await until(lambda: any(client.within for client in gateway.clients.connections))
            assert await peer.ask(text[1000:]) == b"v" * 50_000
            await until(lambda: not gateway.driver.calls)
            readers = [one.reader for one in (*gateway.clients.connections, *gateway.servers.connections)]
            assert len(readers) == 2
            assert all(not (one.words or one.buffer or one.parts or one.long) for one in readers)

    run(test())
