"""Long values with replies owed behind them: gathered first, so that a break takes no reply along."""

import pytest
from fakes import FakeServer, array, call, node, pass_time, run, until
from hypothesis import given
from hypothesis import strategies as st
from test_net_streams import HEAD, LONG, TAIL, Tap

from brackenloft.net.streams import GATHER_MS, Stream, Streams, gather_ms

PARTLY = len(LONG) * 3 // 5


def behind_long_ones() -> FakeServer:
    """A server that answers at once but for requests whose id ends with 1, which the test answers."""
    return FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"behind"))


def writers_of_long(server):
    """The connections on which long values are asked for, by the ids of their requests."""
    return {
        int(words[2], 16): server.writers[number]
        for number, words in zip(server.by, server.commands, strict=True)
        if words[2].endswith(b"1")
    }


# Guards against a reply that is in hand and never given, as the value before it had begun and broke off.
@pytest.mark.parametrize("waited_ms", [500.0, GATHER_MS - 200.0])
def test_value_that_breaks_off_after_a_while_takes_no_reply_behind_it_along(waited_ms):
    async def test():
        server = behind_long_ones()
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1), call(2, "buy"), call(3))
            await server.until(lambda: len(server.commands) == 3)
            writers_of_long(server)[1].write(HEAD + LONG[:PARTLY])
            await until(lambda: gateway.servers.streams.open)
            (stream,) = gateway.servers.streams.open
            await until(lambda: stream.gathers and stream.held == PARTLY)
            pass_time(gateway, waited_ms)
            writers_of_long(server)[1].close()
            assert [await peer.reply() for _ in range(3)] == ["-ERR failed", b"behind", b"behind"]
            assert gateway.driver.obligations.breaches == {}

    run(test())


# Guards against values that all begin, and take replies along, where the budget holds but one of them.
def test_values_that_together_outgrow_the_budget_are_gathered_one_after_the_other():
    async def test():
        server, peers = behind_long_ones(), []
        async with node(server) as gateway:
            streams = gateway.servers.streams
            streams.most = len(LONG) * 3 // 2
            for number in (0x11, 0x21, 0x31):
                peers.append(await gateway.peer())
                peers[-1].send(call(number), call(number + 1))
                await server.until(lambda: len(server.commands) == 2 * len(peers))
                writers_of_long(server)[number].write(HEAD + LONG[:PARTLY])
                await until(lambda: len(streams.open) == len(peers))
            first = next(stream for stream in streams.open if stream.reserved is not None)
            await until(lambda: first.held == PARTLY)
            assert len(streams.waiting) == 2
            for writer in writers_of_long(server).values():
                writer.close()
            for peer in peers:
                assert [await peer.reply() for _ in range(2)] == ["-ERR failed", b"behind"]
            assert gateway.driver.obligations.breaches == {}
            assert not streams.held and not streams.waiting

    run(test())


@pytest.mark.parametrize(
    ("left_ms", "held_back_ms"), [(20_000.0, 1600.0), (900.0, 900.0), (100.0, 400.0), (-50.0, 400.0)]
)
def test_value_is_held_back_for_less_than_two_seconds_and_never_half_a_second_late(left_ms, held_back_ms):
    assert gather_ms(left_ms) == held_back_ms


@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.sampled_from(["come", "gather", "take", "hurry", "fail", "end"]))
    ),
    st.integers(1, 400),
)
def test_what_is_reserved_for_values_that_gather_keeps_the_budget_and_is_given_back(steps, most):
    """Whatever happens in which order: nothing beyond the budget, and nobody waits for what is free."""
    size, window = 100, 10
    streams, taps = Streams(most, least_window=window), [Tap() for _ in range(5)]
    all_of = [Stream(size, tap, streams) for tap in taps]
    for which, act in steps:
        stream, tap = all_of[which], taps[which]
        over = stream.ended or stream.failed
        if act == "come" and tap.flows and not over and stream.held < size:
            stream.came(b"x" * min(30, size - stream.held))
        elif act == "gather" and not stream.begun and not over:
            stream.gather()
        elif act == "take" and stream.pieces and not stream.gathers:
            stream.begin()
            stream.take(size)
        elif act == "hurry":
            stream.hurry()
        elif act == "fail" and not over:
            stream.fail()
            stream.abandon()
        elif act == "end" and not over:
            stream.end()
        assert streams.held == sum(one.held + (one.reserved or 0) for one in all_of)
        assert streams.held <= most + (window - 1 + 30) * len(all_of)
        needs = [max(0, size - one.held) for one in streams.waiting]
        assert all(streams.held + need > most for need in needs)
        assert all(taps[n].flows for n, one in enumerate(all_of) if one.reserved)
    for stream in all_of:
        stream.abandon()
    assert not streams.held and not streams.open and not streams.waiting


@pytest.mark.parametrize("come", [5000, len(LONG) - 1])
def test_value_that_its_server_breaks_off_takes_no_reply_behind_it_along(come):
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"behind"))
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1, "buy"), call(2), call(3))
            await server.until(lambda: len(server.commands) == 3)
            number = next(
                n for n, words in zip(server.by, server.commands, strict=True) if words[2].endswith(b"1")
            )
            server.writers[number].write(HEAD + LONG[:come])
            await until(lambda: any(call.stream for call in gateway.driver.calls.values()))
            server.writers[number].close()
            assert [await peer.reply() for _ in range(3)] == ["-ERR failed", b"behind", b"behind"]
            assert await peer.ask(call(4)) == b"behind"
            assert len(server.commands) == 4 and gateway.driver.tallies["buy"].failed == 1

    run(test())


# Guards against cutting off a value that its server still gives, because others wait behind it.
def test_values_gathered_beyond_the_budget_begin_and_they_and_those_behind_are_served():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"behind"))
        async with node(server) as gateway:
            gateway.servers.streams.most = len(LONG) // 2
            peer = await gateway.peer()
            peer.send(call(1), call(2))
            await server.until(lambda: len(server.commands) == 2)
            number = next(
                n for n, words in zip(server.by, server.commands, strict=True) if words[2].endswith(b"1")
            )
            server.writers[number].write(HEAD + LONG + TAIL)
            assert [await peer.reply() for _ in range(2)] == [LONG, b"behind"]
            assert gateway.servers.streams.held == 0 and not gateway.servers.streams.open

    run(test())


# Guards against holding a long value back until its client's time is up, because others wait behind it.
@pytest.mark.parametrize("wait_ms", [600, 20_000])
def test_value_that_comes_slowly_before_other_replies_is_passed_on_before_its_time(wait_ms):
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"behind"))
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1, wait=wait_ms), call(2))
            await server.until(lambda: len(server.commands) == 2)
            number = next(
                n for n, words in zip(server.by, server.commands, strict=True) if words[2].endswith(b"1")
            )
            server.writers[number].write(HEAD + LONG[:5000])
            assert await peer.reader.readexactly(5000)  # though the rest has not come
            server.writers[number].write(LONG[5000:] + TAIL)
            whole = b"$%d\r\n%b\r\n$6\r\nbehind\r\n" % (len(LONG), LONG)
            assert await peer.reader.readexactly(len(whole) - 5000) == whole[5000:]

    run(test())


# Guards against replies written behind half a value, which a client would take for the rest of it.
def test_value_that_breaks_off_after_it_has_begun_ends_the_connection_behind_it():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"behind"))
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1), call(2), call(3))
            await server.until(lambda: len(server.commands) == 3)
            number = next(
                n for n, words in zip(server.by, server.commands, strict=True) if words[2].endswith(b"1")
            )
            server.writers[number].write(HEAD + LONG[:5000])
            start = b"$%d\r\n%b" % (len(LONG), LONG[:5000])
            assert await peer.reader.readexactly(len(start)) == start
            server.writers[number].close()
            assert await peer.reader.read() == b""
            await until(lambda: not gateway.driver.calls and not gateway.clients.connections)
            assert gateway.clients.held == 0 and sum(gateway.driver.obligations.breaches.values()) == 1

    run(test())
