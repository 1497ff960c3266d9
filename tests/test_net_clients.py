"""What clients see: replies in order, bad input, clients that leave or do not read."""

import asyncio

import pytest
from fakes import FakeServer, array, call, node, resp, run, until

from brackenloft.net.clients import LONGEST_COMMAND, MOST_PIPELINED

GOOD = "c=read,t=free,d=4000,units=1,spread=2,first=0"
WHO, ID = "00000000b4d65521", "00000000000000aa"


def test_request_goes_on_unchanged_but_for_the_wait():
    async def test():
        server = FakeServer(lambda words: array(b"val\r\nue"))
        async with node(server) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(1, "post", body=b"\x00\r\nx")) == b"val\r\nue"
            name, customer, request_id, fields, body = server.commands[0]
            assert (name, customer, request_id, body) == (
                b"CALL.POST", WHO.encode(), b"0000000000000001", b"\x00\r\nx")
            sent = dict(part.split(b"=") for part in fields.split(b","))
            assert 0 < int(sent.pop(b"d")) < 4000
            assert sent == {b"c": b"post", b"t": b"free", b"k": b"5c0f", b"units": b"1", b"spread": b"2",
                            b"first": b"0"}

    run(test())


def test_command_in_single_bytes_and_a_body_of_64_kib():
    async def test():
        server = FakeServer(lambda words: array(words[4]))
        async with node(server) as gateway:
            peer, body = await gateway.peer(), bytes(range(256)) * 256
            for byte in call(1, "buy", body=b"small"):
                peer.send(bytes([byte]))
                await peer.writer.drain()
                await asyncio.sleep(0)
            assert await peer.reply() == b"small"
            assert await peer.ask(call(2, "buy", body=body)) == body

    run(test())


def test_pipelined_replies_come_in_the_order_of_their_commands():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else array(words[2]))
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1), call(2), resp("PING"))
            await server.until(lambda: len(server.commands) == 2)
            first = next(n for n, words in zip(server.by, server.commands, strict=True)
                         if words[2].endswith(b"1"))
            # The second is answered first: it waits for its turn.
            await until(lambda: len(gateway.driver.calls) == 1)
            server.writers[first].write(array(b"late"))
            assert await peer.reply() == b"late"
            assert await peer.reply() == b"0000000000000002"
            assert await peer.reply() == b"PONG"

    run(test())


@pytest.mark.parametrize("words", [
    ["NONSENSE"], ["HELLO", "3"], ["CALL.GET"], ["CALL.GET", WHO, ID], ["CALL.GET", WHO, ID, GOOD, "body"],
    ["CALL.POST", WHO, ID, GOOD.replace("read", "buy")],
    ["CALL.GET", "zz", ID, GOOD], ["CALL.GET", "00000003b4d65521", ID, GOOD],
    ["CALL.GET", WHO, "", GOOD], ["CALL.GET", WHO, "a" * 65, GOOD], ["CALL.GET", WHO, b"\xff\x00", GOOD],
    ["CALL.GET", WHO, ID, ""], ["CALL.GET", WHO, ID, "c"], ["CALL.GET", WHO, ID, GOOD + ",c=read"],
    ["CALL.GET", WHO, ID, GOOD.replace("read", "none")],
    ["CALL.GET", WHO, ID, GOOD.replace("free", "none")],
    ["CALL.GET", WHO, ID, GOOD.replace("d=4000", "d=x")],
    ["CALL.GET", WHO, ID, GOOD.replace("d=4000", "d=nan")],
    ["CALL.GET", WHO, ID, GOOD.replace("d=4000", "d=-1")], ["CALL.GET", WHO, ID, GOOD.replace("d=4000,", "")],
    ["CALL.GET", WHO, ID, GOOD.replace("units=1", "units=inf")],
    ["CALL.GET", WHO, ID, GOOD.replace("spread=2", "spread=0")],
    ["CALL.GET", WHO, ID, GOOD.replace("read", "buy")], ["CALL.POST", WHO, ID, GOOD, "body"],
    ["CALL.POST", WHO, ID, GOOD.replace("read", "post"), "body"],
    ["CALL.GET", WHO, ID, b"\xff" + GOOD.encode() + b"\xff=\xff"],
])
def test_bad_command_gets_an_error_and_the_connection_lives(words):
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(resp(*words), call(7))
            assert (await peer.reply()).startswith("-ERR ")
            assert await peer.reply() == b"0000000000000007"
            assert len(server.commands) == 1

    run(test())


@pytest.mark.parametrize("junk", [
    b"GET / HTTP/1.1\r\n\r\n", b"*1\r\n$x\r\n", b"*0\r\n", b"*1\r\n:5\r\n", b"+OK\r\n", b"-ERR\r\n",
    b"*-1\r\n", b"*4000000000\r\n", b"\x00\xff\r\n", b"*1\r\n*1\r\n$4\r\nPING\r\n",
])
def test_broken_resp_gets_an_error_and_a_close_after_what_was_taken(junk):
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer, other = await gateway.peer(), await gateway.peer()
            peer.send(call(1), junk)
            await server.until(lambda: len(server.commands) == 1)
            server.writers[0].write(array(b"value"))
            assert await peer.reply() == b"value"
            assert (await peer.reply()).startswith("-ERR ")
            assert await peer.reply() is None
            assert await other.ask(resp("PING")) == b"PONG"

    run(test())


def test_second_request_of_an_id_in_hand_is_an_error_and_the_first_is_served():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer, other = await gateway.peer(), await gateway.peer()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            assert (await other.ask(call(1))).startswith("-ERR ")
            server.writers[0].write(array(b"value"))
            assert await peer.reply() == b"value"

    run(test())


def test_client_that_leaves_ends_its_attempts_and_leaves_nothing_behind():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1), call(2))
            await server.until(lambda: len(server.commands) == 2)
            peer.writer.close()
            await until(lambda: not gateway.clients.connections)
            assert not gateway.driver.calls and not gateway.servers.connections
            await server.until(lambda: server.ended == 2)

    run(test())


def test_slow_reader_is_read_no_further_and_loses_nothing():
    async def test():
        value = b"v" * 65536
        server = FakeServer(lambda words: array(words[2] + value))
        async with node(server) as gateway:
            peer, many = await gateway.peer(), 300
            peer.reader._limit = 1  # the stream stops reading at once
            peer.send(*(call(number, wait=60_000) for number in range(many)))
            (client,) = gateway.clients.connections
            await until(lambda: client.stuck)
            assert client.paused and len(client.slots) <= MOST_PIPELINED
            assert client.transport.get_write_buffer_size() <= (MOST_PIPELINED + 2) * (len(value) + 100)
            for number in range(many):
                assert await peer.reply() == b"%016x" % number + value

    run(test())


def test_beyond_the_quota_is_refused_at_once_and_not_sent():
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            peer = await gateway.peer()
            answers = [await peer.ask(call(number, plan="tiny")) for number in range(4)]
            assert answers[0] == b"0000000000000000" and set(answers[1:]) == {"-BUSY"}
            assert len(server.commands) == 1

    run(test())


def test_connections_beyond_the_limit_push_out_idle_ones_and_then_get_an_error():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server, most_connections=2) as gateway:
            idle, busy = await gateway.peer(), await gateway.peer()
            assert await idle.ask(resp("PING")) == b"PONG"
            busy.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            third = await gateway.peer()
            third.send(call(2))
            assert await idle.reply() is None
            await server.until(lambda: len(server.commands) == 2)
            fourth = await gateway.peer()
            assert (await fourth.reply()).startswith("-ERR ")
            server.writers[0].write(array(b"value"))
            assert await busy.reply() == b"value"

    run(test())


def test_no_pong_before_the_list_is_known():
    async def test():
        async with node() as gateway:
            gateway.clients.ready = False
            peer = await gateway.peer()
            assert (await peer.ask(resp("PING"))).startswith("-LOADING")
            gateway.clients.ready = True
            assert await peer.ask(resp("PING")) == b"PONG"

    run(test())


def test_command_without_end_is_broken():
    async def test():
        async with node(FakeServer()) as gateway:
            peer = await gateway.peer()
            peer.send(b"*4\r\n$500000000\r\n", b"x" * 2 * LONGEST_COMMAND)
            assert (await peer.reply()).startswith("-ERR ")
            assert await (await gateway.peer()).ask(resp("PING")) == b"PONG"

    run(test())


def test_commands_read_but_not_taken_yet_are_served_when_the_gateway_leaves():
    async def test():
        held = []
        server = FakeServer(lambda words: held.append(words) if len(held) < MOST_PIPELINED else array(b"v"))
        async with node(server) as gateway:
            peer, more = await gateway.peer(), 6
            peer.send(*(call(number) for number in range(MOST_PIPELINED + more)))
            await server.until(lambda: len(held) == MOST_PIPELINED)
            gateway.clients.stop_listening()
            first = next(n for n, words in zip(server.by, server.commands, strict=True)
                         if int(words[2], 16) == 0)
            for number, writer in enumerate(server.writers):
                if number != first:
                    writer.write(array(b"v"))
            await until(lambda: len(gateway.driver.calls) == 1)
            server.writers[first].write(array(b"v"))  # all that are in hand are written at once
            for _ in range(MOST_PIPELINED + more):
                assert await peer.reply() == b"v"
            assert await peer.reply() is None

    run(test())


def test_several_new_connections_at_once_do_not_count_on_the_same_idle_one():
    async def test():
        async with node(FakeServer()) as gateway:
            peers = []
            for _ in range(3):
                peers.append(await gateway.peer())
                assert await peers[-1].ask(resp("PING")) == b"PONG"
            gateway.clients.most_connections = 1
            newest = list(gateway.clients.connections)[-1]
            gateway.clients.opened(newest)
            gateway.clients.opened(newest)  # before the loop could see the first one's end
            assert await peers[0].reply() is None and await peers[1].reply() is None
            assert await peers[2].ask(resp("PING")) == b"PONG"

    run(test())
