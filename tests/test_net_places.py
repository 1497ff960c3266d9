"""Few places and many who want one: who was turned away, or is silent, gives its place up in time."""

from fakes import FakeServer, call, node, resp, run

from brackenloft.net import client_closing
from brackenloft.net import clients as clients_module

LONG_S = 3600.0


# Guards against requests that wait in the kernel beyond their time, behind clients that were turned away.
def test_who_was_turned_away_and_keeps_its_connection_gives_up_its_place_once_it_has_the_refusal(monkeypatch):
    monkeypatch.setattr(client_closing, "LINGER_S", LONG_S)
    monkeypatch.setattr(clients_module, "IDLE_S", LONG_S)

    async def test():
        async with node(FakeServer(), most_connections=2) as gateway:
            served, refused = await gateway.peer(), await gateway.peer()
            assert await served.ask(call(1, plan="tiny")) == b"%016x" % 1
            assert (await refused.ask(call(2, plan="tiny"))).startswith("-BUSY")
            third = await gateway.peer()
            assert await third.ask(call(3)) == b"%016x" % 3
            assert await refused.reply() is None
            assert gateway.driver.obligations.breaches == {}

    run(test())


# Guards against crowds that say nothing: each is let be for a while, counted from when it was accepted.
def test_who_said_nothing_while_it_waited_in_the_kernel_makes_room_at_once(monkeypatch):
    monkeypatch.setattr(clients_module, "FRESH_S", LONG_S)
    monkeypatch.setattr(clients_module, "age_s", lambda _: 2.0 * LONG_S, raising=False)

    async def test():
        async with node(FakeServer(), most_connections=1) as gateway:
            silent = await gateway.peer()
            assert await (await gateway.peer()).ask(resp("PING")) == b"PONG"
            assert await silent.reply() is None

    run(test())


def test_who_said_nothing_for_a_moment_keeps_its_place(monkeypatch):
    monkeypatch.setattr(clients_module, "FRESH_S", LONG_S)

    async def test():
        async with node(FakeServer(), most_connections=1) as gateway:
            early = await gateway.peer()
            late = await gateway.peer()
            late.send(resp("PING"))
            gateway.clients._make_room()
            assert await early.ask(resp("PING")) == b"PONG"
            early.writer.close()
            assert await late.reply() == b"PONG"

    run(test())
