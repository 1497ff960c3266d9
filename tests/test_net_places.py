"""Few places and many who want one: who was turned away, or says nothing, gives its place up in time (issue 75)."""

from fakes import FakeServer, call, node, run

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
