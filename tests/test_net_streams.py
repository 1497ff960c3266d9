"""Long values: passed on as they come, in order, within a window, whole or seen to be cut."""

import asyncio
import socket

import pytest
from fakes import FakeServer, array, call, node, run, until
from hypothesis import given
from hypothesis import strategies as st

from brackenloft.edge import Call
from brackenloft.net import servers as servers_module
from brackenloft.net.resp import Answers
from brackenloft.net.streams import STREAM_FROM, Stream, Streams

LONG = bytes(range(256)) * 8192  # 2 MiB
HEAD = b"*3\r\n$%d\r\n" % len(LONG)
TAIL = b"\r\n$9\r\nused=37.0\r\n$-1\r\n"


def quiet() -> FakeServer:
    return FakeServer(lambda words: None)


async def asked(gateway, server, *commands):
    peer = await gateway.peer()
    peer.send(*commands)
    await server.until(lambda: len(server.commands) == len(commands))
    return peer


@given(st.integers(1, 5000), st.lists(st.integers(1, 400), max_size=40), st.booleans())
def test_a_value_read_in_pieces_cut_anywhere_is_the_value(size, cuts, twice):
    """In pieces of any sizes: the value, what stands behind it, and the next answer on the connection."""
    value = bytes(number % 251 for number in range(size))
    answer = array(value, b"used=3", None)
    reader, text, values = Answers(), answer * (1 + twice), []
    got, length, place = b"", None, 0
    for cut in [*cuts, len(text)]:
        data, place = text[place : place + cut], place + cut
        if length is None or not reader.value_left:
            reader.feed(data)
        else:
            got += reader.piece(data)
        while (whole := reader.answer()) is not None:
            assert whole[1:] == [b"used=3", None]
            values.append(got if length else whole[0])
            got, length = b"", None
        if length is None and (opening := reader.opening(0)):
            length, got = opening
            assert length == size
    assert values == [value] * (1 + twice) and not reader.left


class Tap:
    """A source that does as it is told, and no more than that."""

    flows = True

    def pause(self):
        self.flows = False

    def resume(self):
        self.flows = True

    abandon = pause


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 60))), st.integers(1, 500), st.integers(1, 200))
def test_streams_hold_no_more_than_their_budget_and_a_window_each(steps, most, window):
    """Whatever comes and is taken in which order: bounded over all, and who holds nothing may always read."""
    streams, longest, taps = Streams(most, least_window=window), 60, [Tap() for _ in range(6)]
    all_of = [Stream(10_000, tap, streams) for tap in taps]
    for which, size in steps:
        stream, tap = all_of[which], taps[which]
        if not size:
            if stream.pieces:
                assert stream.take(1 << 30)
        elif tap.flows:
            stream.came(b"x" * size)
        assert streams.held == sum(one.held for one in all_of)
        assert streams.held <= most + (window - 1 + longest) * len(all_of)
        assert all(tap.flows for tap, one in zip(taps, all_of, strict=True) if not one.held)
    for stream in all_of:
        stream.abandon()
    assert not streams.held and not streams.open


def test_first_bytes_pass_before_the_last_have_come_and_figures_behind_them_count():
    async def test():
        server = quiet()
        async with node(server) as gateway:
            peer = await asked(gateway, server, call(1))
            writer = server.writers[0]
            writer.write(HEAD + LONG[:1000])
            assert await peer.reader.readexactly(10 + 1000) == b"$%d\r\n" % len(LONG) + LONG[:1000]
            assert gateway.driver.in_progress == 1 and not gateway.driver.tallies["read"].passed
            writer.write(LONG[1000:] + TAIL)
            assert await peer.reader.readexactly(len(LONG) - 1000 + 2) == LONG[1000:] + b"\r\n"
            await until(lambda: not gateway.driver.calls)
            assert gateway.driver.tallies["read"].passed == 1 and not gateway.driver.in_progress
            (customer,) = gateway.driver.gateway.meter.customers.values()
            assert customer.used == pytest.approx(0.37)
            server.answer = lambda words: array(b"next")  # the connections live on
            assert await peer.ask(call(2)) == b"next" and not server.ended

    run(test())


def test_from_its_first_bytes_on_a_stream_has_no_deadline():
    async def test():
        server = quiet()
        async with node(server) as gateway:
            peer = await asked(gateway, server, call(1))
            (attempt,) = gateway.driver.calls[f"{1:016x}"].out.values()
            server.writers[0].write(HEAD + LONG[:1000])
            await peer.reader.readexactly(1000)
            gateway.driver._time_out(attempt)  # its time is up
            server.writers[0].write(LONG[1000:] + TAIL)
            assert (await peer.reader.readexactly(10 + len(LONG) + 2 - 1000)).endswith(LONG[1000:] + b"\r\n")

    run(test())


def test_pipelined_answers_keep_their_order_round_a_stream():
    async def test():
        server = quiet()
        async with node(server) as gateway:
            peer = await asked(gateway, server, call(1), call(2), call(3))
            by = {
                int(words[2], 16): server.writers[number]
                for number, words in zip(server.by, server.commands, strict=True)
            }
            by[2].write(HEAD + LONG + TAIL)
            by[3].write(array(b"third"))
            await until(lambda: sum(bool(one.stream) for one in gateway.servers.connections) == 1)
            by[1].write(array(b"first"))
            assert [await peer.reply() for _ in range(3)] == [b"first", LONG, b"third"]

    run(test())


def test_server_that_ends_half_way_is_seen_and_nothing_is_tried_again():
    async def test():
        server = quiet()
        async with node(server) as gateway:
            peer = await asked(gateway, server, call(1))
            server.writers[0].write(HEAD + LONG[:5000])
            await peer.reader.readexactly(5000)
            server.writers[0].close()
            assert len(await peer.reader.read()) < len(LONG)
            await until(lambda: not gateway.driver.calls)
            assert len(server.commands) == 1 and gateway.driver.tallies["read"].failed == 1

    run(test())


def test_command_that_comes_behind_a_value_under_way_is_read_when_the_value_has_ended():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"behind"))
        async with node(server) as gateway:
            peer = await asked(gateway, server, call(1))
            server.writers[0].write(HEAD + LONG[:5000])
            await peer.reader.readexactly(5000)
            peer.send(call(2))
            await asyncio.sleep(0)
            server.writers[0].write(LONG[5000:] + TAIL)
            await peer.reader.readexactly(10 + len(LONG) + 2 - 5000)
            assert await peer.reply() == b"behind"
            assert len(server.commands) == 2

    run(test())


@pytest.mark.parametrize("tail", [b"xx$-1\r\n$-1\r\n", b"\r\n$-1\r\n$-1\r\nmore", b"\r\n$3000000000\r\n"])
def test_server_that_sends_more_than_it_said_serves_no_other_request_on_that_connection(tail):
    async def test():
        server = quiet()
        async with node(server) as gateway:
            peer = await asked(gateway, server, call(1))
            server.writers[0].write(HEAD + LONG)
            got = await peer.reader.readexactly(10 + len(LONG))
            assert got.endswith(LONG)
            server.writers[0].write(tail)
            await server.until(lambda: server.ended == 1)
            assert not gateway.servers.connections

    run(test())


def test_slow_client_holds_the_server_back_and_no_more_than_a_window_is_held():
    async def test():
        server = quiet()
        async with node(server) as gateway:
            gateway.clients.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            sock, loop = socket.socket(), asyncio.get_running_loop()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await loop.sock_connect(sock, gateway.clients.listener.getsockname())
            await loop.sock_sendall(sock, call(1))
            await server.until(lambda: server.commands)
            server.writers[0].write(HEAD + LONG + TAIL)
            gateway.servers.streams.most = len(LONG) // 4
            await until(lambda: any(not one.reading for one in gateway.servers.connections))
            (client,) = gateway.clients.connections
            assert client.transport.get_write_buffer_size() + gateway.servers.streams.held < len(LONG)
            got = b""
            while len(got) < 10 + len(LONG) + 2:
                got += await loop.sock_recv(sock, 1 << 20)
            assert got.endswith(LONG + b"\r\n")
            assert not gateway.servers.streams.held and not gateway.servers.streams.open
            sock.close()

    run(test())


def test_a_client_that_reads_a_long_value_slowly_holds_up_none_of_a_hundred_beside_it():
    async def test():
        value = LONG[: 1 << 20]
        server = FakeServer(lambda words: array(value if int(words[2], 16) == 1 else b"ok"))
        async with node(server) as gateway:
            gateway.clients.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            sock, loop = socket.socket(), asyncio.get_running_loop()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await loop.sock_connect(sock, gateway.clients.listener.getsockname())
            await loop.sock_sendall(sock, call(1))
            got = await loop.sock_recv(sock, 1000)  # it has begun
            peers = [await gateway.peer() for _ in range(20)]
            for turn in range(5):  # one read of the slow one for twenty quick answers
                answers = await asyncio.gather(
                    *(peer.ask(call(100 * turn + 100 + number)) for number, peer in enumerate(peers))
                )
                assert answers == [b"ok"] * 20
                (open_,) = gateway.servers.streams.open
                assert not open_.ended or open_.pieces
                got += await loop.sock_recv(sock, 1000)
            while len(got) < 10 + len(value) + 2:
                got += await loop.sock_recv(sock, 1 << 20)
            assert got == b"$1048576\r\n" + value + b"\r\n"
            assert not gateway.servers.streams.held and not gateway.servers.streams.open
            sock.close()

    run(test())


def test_client_that_goes_away_ends_its_stream_at_the_server_too():
    async def test():
        server = quiet()
        async with node(server) as gateway:
            peer = await asked(gateway, server, call(1))
            server.writers[0].write(HEAD + LONG[:1000])
            await peer.reader.readexactly(1000)
            peer.writer.transport.abort()
            await server.until(lambda: server.ended == 1)
            await until(lambda: not gateway.driver.calls)
            assert gateway.driver.counters.gone == 1 and not gateway.driver.in_progress
            assert not gateway.driver.gateway.flights

    run(test())


def test_many_streams_are_never_cut_for_memory_and_a_stopped_gateway_ends_them(monkeypatch):
    async def test():
        server = FakeServer(lambda words: HEAD + LONG + TAIL)
        async with node(server) as gateway:
            gateway.servers.most_held = gateway.clients.most_held = 3 * STREAM_FROM
            peers = [await gateway.peer() for _ in range(12)]
            for number, peer in enumerate(peers):
                peer.send(call(number))
            assert [await peer.reply() for peer in peers] == [LONG] * 12
            assert not gateway.edge.counters().get("bit: memory of answers")
            server.answer = lambda words: HEAD + LONG[:9000]
            peers[0].send(call(50))
            await peers[0].reader.readexactly(9000)
            gateway.driver.abandon()
            assert await peers[0].reader.read() is not None
            assert not gateway.driver.calls and gateway.driver.tallies["read"].failed == 1

    run(test())


def test_the_library_s_own_calls_get_a_long_value_whole():
    async def test():
        server = FakeServer(lambda words: array(LONG))
        async with node(server) as gateway:
            answer = await gateway.edge.call(Call("read", "free", "00000000b4d65521"))
            assert answer.value == LONG
            assert gateway.servers.held == 0

    run(test())


def test_long_commands_far_beyond_the_memory_wait_for_their_turn_and_are_all_served():
    async def test():
        server, most, body = FakeServer(lambda words: array(words[4][:9])), 0, b"b" * 1_000_000
        async with node(server) as gateway:
            gateway.clients.most_held = 1_200_000
            peers = [await gateway.peer() for _ in range(10)]
            asking = [
                asyncio.ensure_future(peer.ask(call(number, "buy", body=body)))
                for number, peer in enumerate(peers)
            ]
            while not all(one.done() for one in asking):
                most = max(most, gateway.clients.held)
                await asyncio.sleep(0.001)
            assert [one.result() for one in asking] == [b"b" * 9] * 10
            # Beyond the limit: one in its turn, and of each other what one read brings (256 KiB in uvloop).
            assert most < 1_200_000 + 1_000_000 + 10 * 262_144
            commands = gateway.clients.commands
            assert not commands.granted and not commands.waiting and not gateway.clients.held
            stays, goes = await gateway.peer(), await gateway.peer()
            for number, peer in ((90, goes), (91, stays)):  # who goes away in its turn holds nobody up
                peer.send(call(number, "buy", body=body)[:-1])
                await until(lambda: len(commands.granted) + len(commands.waiting) == number - 89)  # noqa: B023
            goes.writer.transport.abort()
            stays.send(b"\n")
            assert await stays.reply() == b"b" * 9

    run(test())


# Guards against giving up a long answer whose header comes in pieces, seconds apart.
@pytest.mark.parametrize("header", [HEAD[:2], HEAD[:4], HEAD[:7], HEAD[:-2]])
def test_long_answer_whose_header_comes_slowly_is_not_cut_off_for_its_rate(header, monkeypatch):
    monkeypatch.setattr(servers_module, "SLOW_S", 0.1)

    async def test():
        server = FakeServer(lambda words: header)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1, "buy"))
            await server.until(lambda: server.commands)
            (connection,) = gateway.servers.connections
            await until(lambda: connection.reader.left)
            for _ in range(4):  # looks, behind which a rate would have ended it
                looked = gateway.servers.looked
                await until(lambda looked=looked: gateway.servers.looked > looked)
            server.writers[0].write(HEAD[len(header) :] + LONG + TAIL)
            assert await peer.reply() == LONG

    run(test())
