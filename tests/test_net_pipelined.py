"""Many commands in one packet: all served while nodes are idle, in order, however the stream is split."""

import asyncio

import pytest
import redis.asyncio
from fakes import FakeServer, array, call, node, run

READS = 200


def words(number):
    return ("CALL.GET", "00000000b4d65521", f"{number:016x}", "c=read,t=free,d=4000,units=1,spread=2,first=0")


def test_pipeline_of_a_stock_client_is_served_whole_at_a_first_start():
    async def test():
        async with node(FakeServer()) as gateway:
            host, port = gateway.clients.listener.getsockname()
            async with redis.asyncio.Redis(host=host, port=port, protocol=2) as client:
                pipeline = client.pipeline(transaction=False)
                for number in range(READS):
                    pipeline.execute_command(*words(number))
                assert await pipeline.execute() == [b"%016x" % number for number in range(READS)]
            assert gateway.edge.counters()["refused_busy"] == 0

    run(test())


def test_many_connections_that_pipeline_are_all_served_by_one_idle_node():
    async def test():
        async with node(FakeServer(), most_connections=200) as gateway:
            async def one(first):
                peer = await gateway.peer()
                for turn in range(4):
                    numbers = range(first + 16 * turn, first + 16 * turn + 16)
                    peer.send(*(call(number) for number in numbers))
                    assert [await peer.reply() for _ in numbers] == [b"%016x" % number for number in numbers]

            await asyncio.gather(*(one(1000 * n) for n in range(24)))
            assert gateway.edge.counters()["served"] == 24 * 64

    run(test())


@pytest.mark.parametrize("commands", [
    (call(1), call(2, "post"), call(3)), (call(4, "buy", body=b"x" * 70), b"*1\r\n$4\r\nPING\r\n", call(5))])
def test_pipelined_stream_split_at_every_byte_is_answered_in_order(commands):
    async def test():
        server = FakeServer(lambda words: array(words[2]))
        async with node(server) as gateway:
            peer, stream, asked = await gateway.peer(), b"".join(commands), 0
            for place in range(1, len(stream)):
                text = stream
                for number in range(1, 6):  # ids are new each time
                    text = text.replace(b"%016x" % number, b"%016x" % (place * 16 + number))
                peer.send(text[:place])
                await asyncio.sleep(0)
                peer.send(text[place:])
                for command in commands:
                    ids = [number for number in range(1, 6) if b"%016x" % number in command]
                    expected = b"%016x" % (place * 16 + ids[0]) if ids else b"PONG"
                    assert await peer.reply() == expected
                    asked += bool(ids)
            assert len(server.commands) == asked

    run(test())
