"""The library as a host uses it: typed answers, cancellation at every stage, a held up loop, the end."""

import asyncio
import gc
import logging
import os
import signal
import socket
import time
from contextlib import suppress
from dataclasses import replace

import pytest
from fakes import SETTINGS, FakeServer, array, node, run, until

from brackenloft import Effect, Limits, Plan, RequestClass, Status
from brackenloft.edge import (
    Call,
    Edge,
    EdgeClosed,
    Failed,
    FieldError,
    Granted,
    Node,
    Refused,
    Room,
    Served,
)
from brackenloft.net.wire import decimal
from brackenloft.policy.attempts import State
from brackenloft.policy.servers import FIRST_LIMIT
from brackenloft.standins import BoardNode, Fault, in_order

WHO = "00000000b4d65521"
READ, POST = Call("read", "free", WHO), Call("post", "free", WHO, b"body", "k1")
BUY = Call("buy", "free", WHO)
CALLS = {"safe": READ, "keyed": POST, "unsafe": BUY}
PLANS = (
    Plan("free"),
    Plan("tiny", rate=0.001, burst=2.0),
    Plan("one", max_in_flight=1),
    Plan("held", rate=10.0, burst=1.0),
)


def clean(edge: Edge) -> None:
    """Nothing of any request is left: in the driver, in the decisions, on the sockets."""
    gateway = edge.driver.gateway
    assert not edge.driver.calls and not gateway.flights and not gateway.parked
    assert not gateway.fleet.young
    assert all(customer.out == 0 for customer in gateway.meter.customers.values())
    assert not any(server.out for server in gateway.fleet.servers.values())
    assert not edge._own and not edge.granted_now
    assert not any(connection.attempt for connection in edge.servers.connections)


async def cancelled(task: asyncio.Future) -> None:
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


def test_each_class_is_served_in_the_form_that_a_strict_node_reads():
    async def test():
        board = await BoardNode("b", work_s=0.0).start()
        async with node() as gateway:
            gateway.edge.use([Node("b", "127.0.0.1", board.port)])
            for call in (READ, POST, replace(BUY, units=0.25, is_retry=True, width=2, first_gateway=1)):
                answer = await gateway.edge.call(replace(call, request_id=f"id{call.class_name}"))
                assert isinstance(answer, Served) and f"id{call.class_name}".encode() in answer.value
            assert len(board.runs) == 3
            clean(gateway.edge)
        board.close()

    run(test())


def test_refused_and_failed_are_typed_and_say_why():
    async def test():
        server = FakeServer(lambda words: b"-ERR failed\r\n" if b"c=buy" in words[3] else array(b"v"))
        async with node(
            server, plans=PLANS, limits=Limits(can_advise_retry=True, max_retry_after_ms=3000.0)
        ) as gateway:
            edge = gateway.edge
            assert await edge.call(BUY) == Failed()
            tiny = replace(READ, plan="tiny", width=2)
            assert await edge.call(tiny) == Served(b"v")
            assert await edge.call(tiny) == Refused(3000, True)
            edge.use([])
            assert await edge.call(replace(READ, patience_ms=50.0)) == Refused(0, False)
            counted = edge.counters()
            assert counted["failed"] + counted["refused_busy"] == 2 and counted["refused_quota"] == 1
            clean(edge)

    run(test())


@pytest.mark.parametrize(
    "field, changes",
    [
        ("class_name", {"class_name": "none"}),
        ("class_name", {"class_name": None}),
        ("plan", {"plan": "none"}),
        ("customer", {"customer": "zz"}),
        ("customer", {"customer": "00000003b4d65521"}),
        ("customer", {"customer": 7}),
        ("units", {"units": 0.0}),
        ("units", {"units": 2.0}),
        ("units", {"units": float("nan")}),
        ("units", {"units": "1"}),
        ("units", {"units": True}),
        ("patience_ms", {"patience_ms": -1.0}),
        ("patience_ms", {"patience_ms": float("inf")}),
        ("width", {"width": 0}),
        ("width", {"width": 3}),
        ("first_gateway", {"first_gateway": 2}),
        ("first_gateway", {"first_gateway": 0.5}),
        ("key", {"key": None}),
        ("key", {"key": "a b"}),
        ("key", {"class_name": "buy"}),
        ("body", {"body": "text"}),
        ("body", {"body": b"x" * (1 << 23)}),
        ("body", {"class_name": "read", "key": None}),
        ("request_id", {"request_id": "a b"}),
        ("request_id", {"request_id": ""}),
    ],
)
def test_bad_input_names_the_field_before_anything_is_charged(field, changes):
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            with pytest.raises(FieldError) as error:
                await gateway.edge.call(replace(replace(POST, plan="tiny"), **changes))
            assert error.value.field == field and field in str(error.value)
            assert not gateway.driver.gateway.meter.customers and not server.commands
            assert gateway.edge.counters()["requests"] == 0
            clean(gateway.edge)

    run(test())


def test_id_that_is_in_hand_is_an_error_and_the_first_is_served():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            first = asyncio.ensure_future(gateway.edge.call(replace(READ, request_id="r1")))
            await server.until(lambda: len(server.commands) == 1)
            with pytest.raises(FieldError, match="request_id"):
                await gateway.edge.call(replace(READ, request_id="r1"))
            server.writers[0].write(array(b"v"))
            assert await first == Served(b"v")

    run(test())


# ---- Cancelled by the host


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("can_cancel", [True, False])
def test_cancelled_with_an_attempt_out_is_withdrawn_or_awaited_and_never_sent_again(name, can_cancel):
    async def test():
        servers = FakeServer(lambda words: None), FakeServer(lambda words: None)
        limits = Limits(max_attempts=3, can_cancel=can_cancel)
        async with node(*servers, limits=limits) as gateway:
            edge = gateway.edge
            task = asyncio.ensure_future(edge.call(CALLS[name]))
            await until(lambda: bool(servers[0].commands or servers[1].commands))
            server = next(item for item in servers if item.commands)
            await cancelled(task)
            if can_cancel:
                await server.until(lambda: server.ended == 1)
            else:  # the outcome is awaited: the customer's place stays taken until it is known
                assert [c.out for c in edge.driver.gateway.meter.customers.values()] == [1]
                server.writers[0].write(array(b"v", b"used=40"))
                await until(lambda: not edge.driver.calls)
                (customer,) = edge.driver.gateway.meter.customers.values()
                assert customer.used == 0.4  # and what the late answer tells is not lost
            clean(edge)
            assert sum(len(item.commands) for item in servers) == 1
            assert edge.counters()["gone"] == 1 and edge.counters()["served"] == 0

    run(test())


@pytest.mark.parametrize("local", [False, True])
def test_cancelled_during_a_hold_charges_nothing_and_is_not_sent(local):
    async def test():
        server = FakeServer()
        async with node(server, plans=PLANS) as gateway:
            edge, call = gateway.edge, replace(BUY, plan="held")

            async def ask():
                if not local:
                    return await edge.call(call)
                async with edge.admit(call) as admission:
                    return admission.answer

            assert isinstance(await ask(), Served | Granted)
            (customer,) = edge.driver.gateway.meter.customers.values()
            before = customer.excess
            task = asyncio.ensure_future(ask())
            flights = edge.driver.gateway.flights
            await until(lambda: any(flight.state is State.HELD for flight in flights.values()))
            assert edge.counters()["held"] >= 1
            await cancelled(task)
            assert customer.excess <= before
            clean(edge)
            assert len(server.commands) == (not local)

    run(test())


def test_cancelled_while_parked_frees_nothing_that_it_did_not_have():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server, plans=PLANS) as gateway:
            edge, call = gateway.edge, replace(READ, plan="one")
            first = asyncio.ensure_future(edge.call(call))
            await server.until(lambda: len(server.commands) == 1)
            parked, last = (asyncio.ensure_future(edge.call(call)) for _ in range(2))
            await until(lambda: len(edge.driver.gateway.parked) == 2)
            await cancelled(parked)
            server.writers[0].write(array(b"v"))
            assert await first == Served(b"v")
            await server.until(lambda: len(server.commands) == 2)
            server.writers[-1].write(array(b"w"))
            assert await last == Served(b"w")
            clean(edge)

    run(test())


@pytest.mark.parametrize("local", [False, True])
def test_cancelled_between_the_answer_and_its_delivery_leaves_nothing(local):
    async def test():
        async with node(FakeServer(), plans=PLANS) as gateway:
            edge, call = gateway.edge, replace(BUY, plan="one")
            entered = []

            async def ask():
                if not local:
                    return await edge.call(call)
                async with edge.admit(call):
                    entered.append(1)

            blocker = edge.begin(call, local=True)  # has the one place: what follows waits for it
            task = asyncio.ensure_future(ask())
            await until(lambda: bool(edge.driver.gateway.parked))
            (pending,) = [item for item in edge._own.values() if item is not blocker]
            driven = edge.driver.calls[pending.request_id]
            tell = driven.on_answer
            driven.on_answer = lambda answer: (tell(answer), task.cancel())  # the host cancels just then
            await blocker.wait()
            edge.driver.release(blocker.request_id, Status.OK)
            with pytest.raises(asyncio.CancelledError):
                await task
            assert not entered
            clean(edge)

    run(test())


# ---- Served by the host itself


def test_admitted_work_is_capped_and_its_place_goes_on_to_the_next():
    async def test():
        async with node(plans=PLANS) as gateway:
            edge, call = gateway.edge, replace(BUY, plan="one", customer="any text: ключ")
            order = []

            async def work(name, failing=False):
                async with edge.admit(call) as admission:
                    assert admission.granted
                    order.append(name)
                    if failing:
                        raise RuntimeError(name)
                    await asyncio.sleep(0.01)
                    order.append(name)

            first = asyncio.ensure_future(work("a"))
            await until(lambda: bool(order))
            rest = [asyncio.ensure_future(work("b", failing=True)), asyncio.ensure_future(work("c"))]
            await first
            assert isinstance((await asyncio.gather(*rest, return_exceptions=True))[0], RuntimeError)
            assert order == ["a", "a", "b", "c", "c"]
            assert edge.counters()["granted"] == 3 and edge.counters()["attempts"] == 0
            clean(edge)

    run(test())


def test_admitted_and_called_requests_of_a_customer_share_one_quota_and_one_cap():
    async def test():
        server = FakeServer()
        async with node(server, plans=PLANS) as gateway:
            edge, call = gateway.edge, replace(READ, plan="tiny", customer=WHO)
            async with edge.admit(replace(call, width=1)) as admission:
                assert admission.granted
            assert isinstance(await edge.call(call), Served)
            assert isinstance(await edge.call(call), Refused)
            async with edge.admit(call) as admission:
                assert not admission.granted and admission.answer == Refused(0, True)
            one = replace(READ, plan="one")
            async with edge.admit(one):
                waiting = asyncio.ensure_future(edge.call(one))
                await until(lambda: bool(edge.driver.gateway.parked))
                assert len(server.commands) == 1
            assert isinstance(await waiting, Served)
            clean(edge)

    run(test())


def test_guess_of_units_is_settled_when_the_work_is_done_and_only_once():
    async def test():
        async with node(plans=PLANS, largest_units=4.0) as gateway:
            edge = gateway.edge
            async with edge.admit(replace(READ, plan="tiny", units=2.0)) as admission:
                admission.settle(0.5)
            admission.release()
            (customer,) = edge.driver.gateway.meter.customers.values()
            assert 400.0 < customer.excess <= 500.0
            with pytest.raises(FieldError, match="units"):
                admission.settle(float("nan"))
            clean(edge)

    run(test())


def test_work_beyond_the_deadline_of_its_class_keeps_its_place_until_it_ends():
    async def test():
        quick = RequestClass("quick", 20.0, 40.0, Effect.SAFE)
        async with node(plans=PLANS, classes=(quick,)) as gateway:
            edge, call = gateway.edge, Call("quick", "one", WHO)
            async with edge.admit(call) as admission:
                assert admission.granted
                async with edge.admit(call) as second:
                    assert second.answer == Refused()  # in time, and while the first is still at it
                (customer,) = edge.driver.gateway.meter.customers.values()
                assert customer.out == 1
            clean(edge)

    run(test())


def test_requests_of_the_host_are_bounded_in_number():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            edge = gateway.edge
            edge.room = replace(edge.room, in_hand=2)
            tasks = [asyncio.ensure_future(edge.call(READ)) for _ in range(3)]
            assert await tasks[2] == Refused()
            for task in tasks[:2]:
                await cancelled(task)
            clean(edge)

    run(test())


# ---- A loop that is held up


def hold_up(seconds: float) -> None:
    """What a slow handler of the host does to the loop that it shares."""
    time.sleep(seconds)  # noqa: ASYNC251


def test_answer_that_came_while_the_loop_was_held_up_is_served_and_the_server_not_blamed():
    async def test():
        kind = RequestClass("read", 200.0, 250.0, Effect.SAFE)
        server = FakeServer(lambda words: None)
        async with node(server, classes=(kind,)) as gateway:
            edge = gateway.edge
            task = asyncio.ensure_future(edge.call(READ))
            await server.until(lambda: len(server.commands) == 1)
            server.writers[0].write(array(b"v"))  # in the kernel before the block; read after all of its time
            hold_up(0.4)
            assert await task == Served(b"v")
            (known,) = edge.driver.gateway.fleet.servers.values()
            assert not any(bad for bad, _, _ in known.marks.values())
            assert known.ratio < 1.0 and edge.driver.gateway.fleet.latency["read"] < 0.2 * kind.aim_ms + 1.0
            assert edge.counters()["stalls"] >= 1
            clean(edge)

    run(test())


def test_answer_that_came_while_a_reader_of_the_host_held_the_loop_up_is_read_before_its_time_is_called():
    """On uvloop timers come right behind what sockets called, and before sockets are looked at again."""

    async def test():
        server = FakeServer(lambda words: None)
        async with node(server, classes=(RequestClass("read", 200.0, 250.0, Effect.SAFE),)) as gateway:
            task = asyncio.ensure_future(gateway.edge.call(READ))
            await server.until(lambda: len(server.commands) == 1)
            loop, (ours, theirs) = asyncio.get_running_loop(), socket.socketpair()

            def slow_reader():
                loop.remove_reader(ours)
                os.write(server.writers[0].get_extra_info("socket").fileno(), array(b"v"))
                hold_up(0.4)

            loop.add_reader(ours, slow_reader)
            theirs.send(b"x")
            assert await task == Served(b"v")
            (known,) = gateway.driver.gateway.fleet.servers.values()
            assert not any(bad for bad, _, _ in known.marks.values())
            clean(gateway.edge)
            ours.close()
            theirs.close()

    run(test())


def test_nothing_is_written_after_its_time_though_its_connection_came_up():
    async def test():
        server = await FakeServer().start()
        async with node() as gateway:
            gateway.told(server.entry(1))
            task = asyncio.ensure_future(gateway.edge.call(replace(READ, patience_ms=60.0)))
            await asyncio.sleep(0)
            hold_up(0.15)
            assert await task == Refused()
            later = await gateway.edge.call(READ)  # whatever was written before this would have come by now
            assert isinstance(later, Served) and len(server.commands) == 1
            (known,) = gateway.driver.gateway.fleet.servers.values()
            assert not any(bad for bad, _, _ in known.marks.values())
            clean(gateway.edge)

    run(test())


def hold_up_connects(servers):
    """The loop is held up whenever a connection has come up, until its time is over."""
    connect = servers.connect

    async def connect_held_up(sock, address):
        await connect(sock, address)
        await asyncio.Event().wait()

    servers.connect = connect_held_up


def test_connection_that_came_up_while_the_loop_was_held_up_is_not_a_failed_one():
    async def test():
        server = await FakeServer().start()
        async with node(limits=Limits(max_attempts=1, connect_timeout_ms=50.0)) as gateway:
            gateway.told(server.entry(1))
            hold_up_connects(gateway.servers)
            assert isinstance(await gateway.edge.call(BUY), Served)
            clean(gateway.edge)

    run(test())


# ---- The end, and what an edge leaves alone


def test_closing_answers_what_is_in_hand_and_takes_nothing_new():
    async def test():
        server = FakeServer(lambda words: None)
        before = asyncio.all_tasks()
        async with node(server, plans=PLANS) as gateway:
            edge = gateway.edge
            out = [asyncio.ensure_future(edge.call(call)) for call in CALLS.values()]
            admitted = edge.begin(replace(BUY, plan="one"), local=True)
            parked = asyncio.ensure_future(edge.call(replace(READ, plan="one")))
            await server.until(lambda: len(server.commands) == 3)
            await admitted.wait()
            await edge.close(0.3)
            answers = await asyncio.gather(*out, parked)
            assert all(isinstance(answer, Refused | Failed) for answer in answers)
            assert isinstance(answers[2], Failed)  # it may have run
            with pytest.raises(EdgeClosed):
                await edge.call(READ)
            edge.driver.release(admitted.request_id, Status.OK)  # late: harmless
            await edge.close()
            timers = edge.driver.timers
            assert not timers and timers.alarm is None and edge.driver.lag.beat is None
            assert not edge.driver.calls and not edge.servers.connections
        await asyncio.sleep(0.05)
        server.server.close()
        for writer in server.writers:
            writer.close()
        await server.until(lambda: server.ended == len(server.writers))
        await asyncio.sleep(0.01)
        assert asyncio.all_tasks() == before

    run(test())


def test_what_waits_when_time_is_over_has_failed_at_once():
    async def test():
        async with node(plans=PLANS) as gateway:
            edge, call = gateway.edge, replace(BUY, plan="one")
            granted = edge.begin(call, local=True)
            waiting = [asyncio.ensure_future(edge.call(call)) for _ in range(3)]
            await granted.wait()
            await until(lambda: len(edge.driver.gateway.parked) == 3)
            await edge.close(0.0)
            answers = await asyncio.wait_for(asyncio.gather(*waiting), 5.0)
            assert all(isinstance(answer, Failed | Refused) for answer in answers) and not edge.driver.calls

    run(test())


def test_first_list_of_a_source_bounds_what_is_out_at_first():
    async def test():
        server = await FakeServer(lambda words: None).start()
        async with node() as gateway:
            edge = gateway.edge
            edge.use([])
            edge.use([Node("a", "127.0.0.1", server.port)])
            assert edge.driver.gateway.fleet.pool == FIRST_LIMIT / SETTINGS.gateways
            tasks = [asyncio.ensure_future(edge.call(READ)) for _ in range(20)]
            await until(lambda: edge.counters()["attempts"] > 0)
            assert edge.counters()["attempts"] <= FIRST_LIMIT
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            clean(edge)

    run(test())


def test_close_that_the_host_cancels_still_ends_everything():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            task = asyncio.ensure_future(gateway.edge.call(BUY))
            await server.until(lambda: len(server.commands) == 1)
            closing = asyncio.ensure_future(gateway.edge.close(60.0))
            await asyncio.sleep(0)
            await cancelled(closing)
            assert await task == Failed() and not gateway.edge.is_open

    run(test())


def test_two_edges_in_one_loop_know_nothing_of_each_other():
    async def test():
        server = FakeServer()
        async with node(server, plans=PLANS) as one, node(server, plans=PLANS) as other:
            call = replace(READ, plan="tiny", width=2)
            for gateway in (one, other):
                assert isinstance(await gateway.edge.call(replace(call, request_id="same")), Served)
                assert isinstance(await gateway.edge.call(call), Refused)
            await one.edge.close(0.0)
            assert isinstance(await other.edge.call(READ), Served)
            assert one.edge.counters()["requests"] == 2 and other.edge.counters()["requests"] == 3

    run(test())


def test_host_keeps_its_signals_its_logging_and_its_collector():
    async def test():
        before = signal.getsignal(signal.SIGTERM), signal.getsignal(signal.SIGHUP), gc.get_freeze_count()
        handlers = list(logging.getLogger().handlers)
        async with Edge(SETTINGS) as edge:
            edge.listen("127.0.0.1", 0)
            now = signal.getsignal(signal.SIGTERM), signal.getsignal(signal.SIGHUP), gc.get_freeze_count()
            assert now == before and logging.getLogger().handlers == handlers

    run(test())


def test_edge_may_be_opened_again_but_not_twice():
    async def test():
        edge = Edge(SETTINGS)
        for _ in range(2):
            async with edge:
                with pytest.raises(EdgeClosed):
                    edge.open()
                edge.use([])
                assert edge.ready
            assert not edge.ready

    run(test())


@pytest.mark.parametrize("name, value", [("held", 0), ("in_hand", -1), ("client_connections", 0)])
def test_room_that_is_none_names_the_field(name, value):
    with pytest.raises(FieldError, match=name):
        Room(**{name: value})


@pytest.mark.parametrize(
    "field, changes",
    [
        ("name", {"name": ""}),
        ("host", {"host": ""}),
        ("port", {"port": 0}),
    ],
)
def test_node_that_can_not_be_names_the_field(field, changes):
    with pytest.raises(FieldError, match=field):
        replace(Node("n", "127.0.0.1", 1), **changes)


def test_node_of_a_name_that_is_new_at_an_old_address_is_another_node():
    async def test():
        server = await FakeServer().start()
        async with node() as gateway:
            seen = []
            for name in ("a", "b"):
                gateway.edge.use([Node(name, "127.0.0.1", server.port)])
                await gateway.edge.call(READ)
                seen += list(gateway.driver.gateway.fleet.servers)
            assert len(set(seen)) == 2
            with pytest.raises(FieldError, match="twice"):
                gateway.edge.use([Node("a", "127.0.0.1", 1), Node("a", "127.0.0.1", 2)])

    run(test())


@pytest.mark.parametrize("number, text", [(1.0, "1"), (0.25, "0.25"), (1e-9, "0.000000001"), (12.0, "12")])
def test_units_are_written_as_the_protocol_has_numbers(number, text):
    assert decimal(number) == text


def test_faults_of_a_node_come_out_as_their_class_demands():
    async def test():
        faults = [Fault.RESET, Fault.SPOILT, Fault.ERROR, Fault.HANG_UP]
        board = await BoardNode("b", work_s=0.0, script=in_order(faults)).start()
        async with node() as gateway:
            gateway.edge.use([Node("b", "127.0.0.1", board.port)])
            for _ in faults:
                assert await gateway.edge.call(BUY) == Failed()
            assert sum(board.runs.values()) == 3 and max(board.runs.values()) == 1
            clean(gateway.edge)
        with suppress(OSError):
            board.close()

    run(test())
