"""Attempts on sockets: outcomes, connections kept and retired, drains, limits."""

import asyncio
import errno
import socket

import pytest
from fakes import FakeServer, array, call, node, resp, run, until

from brackenloft import Limits, ListKind, ServerEntry, ServerState, Status
from brackenloft.net import servers as module
from brackenloft.net.attempt import Attempt, Reply
from brackenloft.net.server_replies import RespReplyDecoder

COMMAND = resp("CALL.GET", "00000000b4d65521", "00000000000000aa", "c=read,t=free,d=10")


class Ends:
    """Collects what attempts came to."""

    def __init__(self) -> None:
        self.replies: asyncio.Queue[Reply] = asyncio.Queue()

    def attempt(self, payload: bytes = COMMAND) -> Attempt:
        return Attempt(lambda wait_ms: payload, self.replies.put_nowait)

    async def status(self) -> Status:
        return (await self.replies.get()).status

    def empty(self) -> bool:
        return self.replies.empty()


def test_one_attempt_at_a_time_on_a_connection_and_the_last_used_is_used_again():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            ends = Ends()
            gateway.servers.start(1, ends.attempt())
            gateway.servers.start(1, ends.attempt())
            await server.until(lambda: len(server.commands) == 2)
            assert sorted(server.by) == [0, 1]
            for number in (1, 0):
                server.writers[number].write(array(b"v"))
                assert await ends.status() is Status.OK
            await asyncio.sleep(4.0 * module.REST_S)
            gateway.servers.start(1, ends.attempt())
            await server.until(lambda: len(server.commands) == 3)
            assert server.by[2] == 0

    run(test())


@pytest.mark.parametrize(
    "answer, status",
    [
        (array(b"v"), Status.OK),
        (b"-BUSY\r\n", Status.FULL),
        (b"-ERR failed\r\n", Status.ERROR),
        (b"", Status.RESET),
        (b"$1\r\nv\r\n", Status.ERROR),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", Status.ERROR),
        (b"*0\r\n", Status.ERROR),
        (b"*-1\r\n", Status.ERROR),
        (b"+OK\r\n", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\n\r\n", Status.ERROR),
        (b"$500000000\r\n" + b"x" * 3_000_000, Status.ERROR),
        (b"*4000000000\r\n", Status.ERROR),
        (b"*1\r\n:5\r\n", Status.ERROR),
    ],
)
def test_outcome_by_the_table_and_one_only(answer, status):
    async def test():
        server = FakeServer(lambda words: answer)
        async with node(server) as gateway:
            ends = Ends()
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is status
            gateway.servers.close()
            assert ends.empty()

    run(test())


def test_figures_on_use_and_load_in_answers_and_error_lines():
    read = RespReplyDecoder(("utilisation", "queue"), 1.0).decode
    assert read([b"v", b"used=37,cost=4", b"inflight=7,queue=2,util=0.61"]) == Reply(
        Status.OK, b"v", 37.0, 4.0, (0.61, 2.0)
    )
    assert read([b"v", None, None]) == Reply(Status.OK, b"v")
    assert read("ERR failed used=120 util=0.5,queue=3") == Reply(Status.ERROR, None, 120.0, None, (0.5, 3.0))
    assert read("BUSY used=9") == Reply(Status.FULL, None, 9.0)
    assert read([b"v", b"used=x,,=,nan", b"util=0.5"]) == Reply(Status.OK, b"v")


@pytest.mark.parametrize("number", ["nan", "inf", "-1", "1e9", "999999999", "0x1", "1_0", " 1", "", "\xff"])
def test_figures_that_can_not_be_are_dropped_and_the_value_is_served(number):
    async def test():
        figures = [f"used={number},cost={number}", f"util=0.1,queue={number}"]
        server = FakeServer(lambda words: array(words[2], *(text.encode("latin-1") for text in figures)))
        async with node(server) as gateway:
            assert await (await gateway.peer()).ask(call(1)) == b"0000000000000001"
            (customer,) = gateway.driver.gateway.meter.customers.values()
            (known,) = gateway.driver.gateway.fleet.servers.values()
            assert customer.used == customer.excess == known.queue == 0.0

    run(test())


@pytest.mark.parametrize(
    "answer",
    [
        array(b"v") + b"junk",
        b"*3\r\n$1\r\nvv\r\n$-1\r\n$-1\r\n",
        b"*2000000000\r\n",
        b"*3\r\n$3000000000\r\n",
        b"*3\r\n$4194305\r\n",
        b"*1\r\n$1\r\nv\r\n",
        b"*3\r\n$-1\r\n",
        b"\xb4P\xff",
        b"-" + b"x" * 600,
        b"-NOISE x\r\n",
        b"-\xff\xff\r\n",
        b"*3\r\n*1\r\n$1\r\nv\r\n",
        b":5\r\n",
    ],
)
def test_connection_of_a_spoilt_answer_is_never_used_again_though_it_stays_open(answer):
    async def test():
        server = FakeServer(lambda words: answer if words[2].endswith(b"1") else array(words[2]))
        async with node(server) as gateway:
            peer = await gateway.peer()
            first = await peer.ask(call(1, "buy"))
            assert first == b"v" if answer.startswith(array(b"v")) else first == "-ERR failed"
            await asyncio.sleep(2.0 * module.REST_S)
            for number in (2, 3):
                assert await peer.ask(call(number, "buy")) == b"%016x" % number
            assert server.by[0] == 0 not in server.by[1:]

    run(test())


def test_bytes_that_come_a_little_behind_an_answer_do_not_answer_the_next_request(monkeypatch):
    monkeypatch.setattr(module, "REST_S", 0.5)

    async def test():
        server = FakeServer(lambda words: array(words[2]))
        async with node(server) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(1)) == b"0000000000000001"
            server.answer = lambda words: server.writers[0].write(array(b"old")) or array(words[2])
            assert await peer.ask(call(2)) == b"0000000000000002"
            await server.until(lambda: server.ended == 1)

    run(test())


def test_refused_connection_never_ran_and_an_unsafe_request_goes_elsewhere():
    async def test():
        server, gone = FakeServer(), await FakeServer().start()
        gone.server.close()
        await gone.server.wait_closed()
        async with node(server) as gateway:
            gateway.told(gone.entry(1), kind=ListKind.FULL)
            peer = await gateway.peer()
            gateway.told(server.entry(2), kind=ListKind.CHANGES)
            for number in range(8):
                assert await peer.ask(call(number, "buy")) == b"%016x" % number

    run(test())


def test_break_after_the_last_byte_may_have_run_and_an_unsafe_request_fails():
    async def test():
        server, other = FakeServer(lambda words: b""), FakeServer(lambda words: b"")
        async with node(server, other) as gateway:
            peer = await gateway.peer()
            assert (await peer.ask(call(1, "buy"))).startswith("-ERR")
            assert len(server.commands) + len(other.commands) == 1

    run(test())


def test_break_before_the_last_byte_never_ran():
    async def test():
        async with node() as gateway:
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            port = listener.getsockname()[1]
            gateway.told((ServerEntry(1, "a"), ("127.0.0.1", port)))
            ends = Ends()
            gateway.servers.start(1, ends.attempt(b"x" * 32_000_000))
            loop = asyncio.get_running_loop()
            accepted, _ = await loop.sock_accept(listener)
            await loop.sock_recv(accepted, 1)
            accepted.close()  # with bytes unread: a reset
            assert await ends.status() is Status.CONNECT_FAILED
            listener.close()

    run(test())


def test_busy_never_ran_and_an_unsafe_request_goes_to_the_other_server():
    async def test():
        busy, good = FakeServer(lambda words: b"-BUSY\r\n"), FakeServer()
        async with node(busy, good) as gateway:
            peer, other = await gateway.peer(), await gateway.peer()
            for number in range(0, 8, 2):  # two at once: one to each server
                replies = await asyncio.gather(
                    peer.ask(call(number, "buy")), other.ask(call(number + 1, "buy"))
                )
                assert replies == [b"%016x" % number, b"%016x" % (number + 1)]
            assert busy.commands

    run(test())


def test_connection_that_ended_while_idle_is_not_written_to():
    async def test():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            port = listener.getsockname()[1]
            async with node() as gateway:
                gateway.told((ServerEntry(1, "a"), ("127.0.0.1", port)))
                ends, loop = Ends(), asyncio.get_running_loop()
                gateway.servers.start(1, ends.attempt())
                accepted, _ = await loop.sock_accept(listener)
                await loop.sock_recv(accepted, 1000)
                await loop.sock_sendall(accepted, array(b"v"))
                assert await ends.status() is Status.OK
                accepted.close()
                gateway.servers.start(1, ends.attempt())  # before the loop could see the end
                accepted, _ = await loop.sock_accept(listener)
                await loop.sock_recv(accepted, 1000)
                await loop.sock_sendall(accepted, array(b"v"))
                assert await ends.status() is Status.OK
                accepted.close()

    run(test())


def test_idle_connection_is_retired_before_the_server_would_close_it():
    async def test():
        server = FakeServer()
        async with node(server, limits=Limits(connection_idle_ms=1.0)) as gateway:
            ends = Ends()
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is Status.OK
            await server.until(lambda: server.ended == 1)
            assert not gateway.servers.connections

    run(test())


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_no_first_byte_to_a_server_that_drains_or_goes_while_it_is_connected_to(state):
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            ends = Ends()
            gateway.servers.start(1, ends.attempt())
            (connection,) = gateway.servers.connections
            gateway.told(server.entry(1, state=state), kind=ListKind.CHANGES)
            assert await ends.status() is Status.CONNECT_FAILED
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is Status.CONNECT_FAILED
            await until(connection.task.done)
            gateway.told(server.entry(2), kind=ListKind.FULL)
            gateway.servers.start(2, ends.attempt())
            assert await ends.status() is Status.OK
            assert len(server.commands) == 1

    run(test())


@pytest.mark.parametrize("change", [{"started_ms": 5.0}, {"state": ServerState.DRAINING}])
def test_old_connections_are_closed_when_a_server_restarts_or_drains(change):
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            ends = Ends()
            for _ in range(2):
                gateway.servers.start(1, ends.attempt())
            await server.until(lambda: len(server.commands) == 2)
            server.writers[0].write(array(b"v"))
            assert await ends.status() is Status.OK
            gateway.told(server.entry(1, **change), kind=ListKind.CHANGES)
            (kept,) = gateway.servers.connections
            assert kept.attempt
            await server.until(lambda: server.ended == 1)
            server.writers[1].write(array(b"v"))  # what is out may finish, its connection is not kept
            assert await ends.status() is Status.OK
            assert not gateway.servers.connections
            await server.until(lambda: server.ended == 2)

    run(test())


def test_replaced_address_gets_new_connections():
    async def test():
        server, other = FakeServer(), await FakeServer().start()
        async with node(server) as gateway:
            ends = Ends()
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is Status.OK
            gateway.told(other.entry(1), kind=ListKind.CHANGES)
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is Status.OK
            assert len(server.commands) == len(other.commands) == 1

    run(test())


# Guards against work for a server that has gone, sent to the process that came up at its address.
@pytest.mark.parametrize(("started_ms", "left"), [((0.0, 5.0), {2}), ((0.0, 0.0), {2}), ((9.0, 5.0), {1, 2})])
def test_server_whose_address_another_one_has_now_gets_nothing_more(started_ms, left):
    async def test():
        server = FakeServer()
        async with node() as gateway:
            await server.start()
            gateway.told(server.entry(1, started_ms=started_ms[0]))
            ends = Ends()
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is Status.OK
            (connection,) = gateway.servers.connections
            gateway.told(server.entry(2, zone="b", started_ms=started_ms[1]), kind=ListKind.CHANGES)
            assert set(gateway.servers.hosts) == set(gateway.driver.gateway.fleet.servers) == left
            assert connection.closed == (1 not in left)
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is (Status.OK if 1 in left else Status.CONNECT_FAILED)
            gateway.servers.start(2, ends.attempt())
            assert await ends.status() is Status.OK
            gateway.told(server.entry(2, zone="b", state=ServerState.DRAINING), kind=ListKind.CHANGES)
            assert set(gateway.servers.hosts) == left

    run(test())


def test_connections_are_bounded_and_idle_ones_make_room():
    async def test():
        server, other = FakeServer(), FakeServer(lambda words: None)
        async with node(server, other, most_connections=1) as gateway:
            ends = Ends()
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is Status.OK
            gateway.servers.start(2, ends.attempt())
            await server.until(lambda: server.ended == 1)
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is Status.CONNECT_FAILED
            await other.until(lambda: len(other.commands) == 1)
            other.writers[0].write(array(b"v"))
            assert await ends.status() is Status.OK

    run(test())


def test_running_out_of_descriptors_is_an_outcome(monkeypatch):
    async def test():
        server = FakeServer()
        async with node(server) as gateway:

            def none_left(*_):
                raise OSError(errno.EMFILE, "too many open files")

            ends = Ends()
            with monkeypatch.context() as patch:
                patch.setattr(socket, "socket", none_left)
                gateway.servers.start(1, ends.attempt())
                assert await ends.status() is Status.CONNECT_FAILED
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is Status.OK

    run(test())


def test_connection_that_never_comes_up_ends_after_the_time_out_and_never_ran():
    async def test():
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            port = listener.getsockname()[1]
            full = []
            for _ in range(3):  # the backlog is full: what comes now gets no answer
                full.append(socket.socket())
                full[-1].setblocking(False)
                full[-1].connect_ex(("127.0.0.1", port))
            async with node(limits=Limits(connect_timeout_ms=50.0)) as gateway:
                gateway.told((ServerEntry(1, "a"), ("127.0.0.1", port)))
                ends = Ends()
                gateway.servers.start(1, ends.attempt())
                assert await ends.status() is Status.CONNECT_FAILED
                assert not gateway.servers.connections
            for one in full:
                one.close()

    run(test())


def test_stopped_attempt_has_its_connection_closed_before_the_outcome_is_told():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            told = []
            attempt = Attempt(lambda wait_ms: COMMAND, told.append)
            gateway.servers.start(1, attempt)
            await server.until(lambda: len(server.commands) == 1)
            sock = next(iter(gateway.servers.connections)).socket

            def done(reply):
                with pytest.raises(OSError):
                    sock.send(b"x")
                told.append(reply)

            attempt.done = done
            gateway.servers.stop(attempt, Status.CANCELLED)
            assert [reply.status for reply in told] == [Status.CANCELLED]
            await server.until(lambda: server.ended == 1)

    run(test())


def test_bytes_that_answer_nothing_end_the_connection():
    async def test():
        server = FakeServer(lambda words: array(b"v") + b"+EXTRA\r\n")
        async with node(server) as gateway:
            ends = Ends()
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is Status.OK
            await server.until(lambda: server.ended == 1)
            assert not gateway.servers.connections

    run(test())


@pytest.mark.parametrize("has_place", [True, False])
def test_large_value_is_served_and_what_is_held_of_unfinished_ones_is_bounded(has_place):
    async def test():
        server = FakeServer(lambda words: array(b"v" * 400_000) if words[2].endswith(b"1") else None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(1, "buy")) == b"v" * 400_000
            answer = array(b"v" * 60_000)  # small enough to be gathered
            peer.send(call(2, "buy"))
            await server.until(lambda: len(server.commands) == 2)
            server.writers[-1].write(answer[:30_000])
            await until(lambda: gateway.servers.held == 30_000)
            gateway.servers.most_held = 10_000
            if not has_place:
                gateway.servers.memory.limit = 0
            server.writers[-1].write(answer[30_000:-1])
            if has_place:  # it is passed on as it comes
                assert len(await peer.reader.readexactly(60_000)) == 60_000
                assert gateway.servers.held < 100
                server.writers[-1].write(answer[-1:])
                assert (await peer.reader.readexactly(len(b"$60000\r\n\r\n"))).endswith(b"v\r\n")
            else:
                assert await peer.reply() == "-ERR failed"
            await until(lambda: gateway.servers.held == 0)

    run(test())


# Guards against an attempt that is taken out of the queue twice, as asking about it serves the queue too.
def test_queue_of_a_server_that_is_served_while_an_attempt_is_asked_about_stays_whole():
    async def test():
        async with node(FakeServer()) as gateway:
            ends, host, asked = Ends(), gateway.servers.hosts[1], []

            def ask(now):
                if not asked:
                    asked.append(now)
                    gateway.servers.serve_waiting(host)

            attempts = [ends.attempt() for _ in range(2)]
            attempts[0].ask = ask
            for attempt in attempts:
                gateway.servers.start(1, attempt)
            assert [await ends.status() for _ in attempts] == [Status.OK] * 2
            assert asked and not host.waiting

    run(test())


def test_burst_waits_for_connections_and_few_come_up_at_once():
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            ends, host = Ends(), gateway.servers.hosts[1]
            for _ in range(60):
                gateway.servers.start(1, ends.attempt())
            assert host.coming_up == module.COMING_UP and len(host.waiting) == 60 - module.COMING_UP
            assert [await ends.status() for _ in range(60)] == [Status.OK] * 60
            assert not host.coming_up and not host.waiting and max(map(server.by.count, server.by)) < 60

    run(test())


@pytest.mark.parametrize("change", ["drain", "gone", "refused", "stopped", "closed"])
def test_who_waits_for_a_connection_was_never_sent_when_none_comes(change):
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            ends, host = Ends(), gateway.servers.hosts[1]
            if change == "refused":
                server.server.close()
            attempts = [ends.attempt() for _ in range(20)]
            for attempt in attempts:
                gateway.servers.start(1, attempt)
            waiting = len(host.waiting)
            if change == "stopped":
                for attempt in attempts:
                    gateway.servers.stop(attempt, Status.TIMEOUT)
            elif change == "closed":
                gateway.servers.close()
            elif change != "refused":
                state = ServerState.DRAINING if change == "drain" else ServerState.GONE
                gateway.told(server.entry(1, state=state), kind=ListKind.CHANGES)
            statuses = [await ends.status() for _ in range(20)]
            failed = (Status.CANCELLED, Status.CONNECT_FAILED)  # by the caller's word where it closes all
            assert all(status in failed for status in statuses) and ends.empty()
            await until(lambda: not host.coming_up)
            assert waiting == 20 - module.COMING_UP and not server.commands
            if change == "stopped":  # and those places are free again
                gateway.servers.start(1, ends.attempt())
                assert await ends.status() is Status.OK

    run(test())


def test_who_waits_while_descriptors_are_short_takes_a_connection_that_has_rested():
    async def test():
        server = FakeServer()
        async with node(server, most_connections=2) as gateway:
            ends = Ends()
            for _ in range(12):
                gateway.servers.start(1, ends.attempt())
                assert await ends.status() is Status.OK
            assert len(server.writers) <= 4 and len(server.commands) == 12

    run(test())
