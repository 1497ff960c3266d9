"""A script on sockets: the driver and its connections as they are in service, nodes on loopback by heart."""

from __future__ import annotations

import asyncio
from math import inf
from typing import Any, cast

from brackenloft import interface as api
from brackenloft.admission.budget import Budget, Side
from brackenloft.answers import Answer, Refused, Served
from brackenloft.lab.conformance.script import Answers, Asks, Script, Trace
from brackenloft.lab.nodes import Node
from brackenloft.lab.real.links import Door, Line, Listener, Slot
from brackenloft.lab.spec import Nodes
from brackenloft.net.attempt import Attempt
from brackenloft.net.call import Call
from brackenloft.net.clock import Clock
from brackenloft.net.driver import Driver
from brackenloft.net.limits import BufferLimits
from brackenloft.net.servers import Servers
from brackenloft.policy import Gateway
from brackenloft.standins.peer import array, resp

KIND, PLAN = api.RequestClass("kind", 10_000.0, 10_000.0, api.Effect.SAFE), api.Plan("plan")
SETTINGS = api.Settings(1, 0, "zone-0", (KIND,), (PLAN,), api.Limits(max_attempts=9, may_duplicate=True))
ROOM = 64  # descriptors of each side
MOST_HELD = 1 << 20
LIMIT_S = 20.0  # a script that has not happened by then never will
REST_MS = 100.0  # after the last thing that is wanted, for what is not wanted to come
TURN_S = 0.001  # between two looks whether a connection has come up
TEXTS = {
    api.Status.OK: array(b"done"),
    api.Status.ERROR: b"-ERR failed\r\n",
    api.Status.FULL: b"-BUSY\r\n",
    api.Status.RESET: b"",
}


class Decisions:
    """The trace in the place of a gateway's decisions; says that there is news."""

    settings = SETTINGS

    def __init__(self, played: Trace, news: asyncio.Event) -> None:
        self.played, self.news = played, news

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Pass one event on."""
        self.news.set()
        return self.played.handle(now_ms, event)


class Loopback:
    """One script on sockets."""

    def __init__(self, script: Script) -> None:
        self.script, self.played = script, Trace(script)
        self.loop = asyncio.get_running_loop()
        self.news, self.over = asyncio.Event(), False
        budget = Budget(2 * ROOM, {Side.CLIENTS: ROOM, Side.SERVERS: ROOM}, 0)
        self.servers = Servers(SETTINGS, budget, BufferLimits(MOST_HELD))
        self.driver = Driver(cast(Gateway, Decisions(self.played, self.news)), self.servers, Clock())
        self.nodes = [
            Node(number, Nodes(), 1.0, lambda: 0.0, lambda *_: None) for number in range(len(script.nodes))
        ]
        self.to_come = [list(answers or ()) for answers in script.nodes]
        self.listeners = [Listener(self._doors(node)) for node in self.nodes]

    def _doors(self, node: Node) -> Any:
        return lambda: Door(self, 0, node)

    async def play(self) -> Trace:
        """To its end; what was seen."""
        for listener, answers in zip(self.listeners, self.script.nodes, strict=True):
            listener.take()
            if answers is None:
                listener.refuse()
        self.servers.update(
            api.ServerList(api.ListKind.FULL, tuple(api.ServerEntry(n.number, "zone-0") for n in self.nodes)),
            {node.number: ("127.0.0.1", self.listeners[node.number].port) for node in self.nodes},
        )
        for asks in self.script.asks:
            self.loop.call_later(asks.at / 1000.0, self._asks, asks)
        try:
            async with asyncio.timeout(LIMIT_S):
                while not self.played.whole() or len(self.played.stopped) < len(self.script.stopped):
                    self.news.clear()
                    await self.news.wait()
        except TimeoutError:
            pass  # the differences tell what is missing
        await asyncio.sleep(REST_MS / 1000.0)
        self._close()
        return self.played

    def _close(self) -> None:
        self.over = True
        self.driver.abandon()
        self.driver.close()
        self.servers.close()
        for listener in self.listeners:
            listener.refuse()
            listener.reset()

    # ---- Clients

    def _asks(self, asks: Asks) -> None:
        def answered(answer: Answer) -> None:
            words = "served" if isinstance(answer, Served) else "refused"
            self.played.answered(asks.name, words if isinstance(answer, Served | Refused) else "failed")
            self.news.set()

        call = Call(asks.name, lambda wait_ms: resp("WORK", asks.name), answered)
        request = api.Request(asks.name, KIND.name, PLAN.name, "c", asks.patience_ms)
        self.driver.request(call, request, asks.patience_ms)
        if asks.leaves:
            self.loop.call_later(asks.leaves / 1000.0, self.driver.client_gone, asks.name)

    # ---- Nodes

    def commanded(self, door: Door, words: Any) -> None:
        """A command has come to a node."""
        self.news.set()
        name, to_come = words[1].decode(), self.to_come[door.node.number]
        # Of several requests each has its own: on connections of their own they may come in any order.
        place = [asks.name for asks in self.script.asks].index(name) if len(self.script.asks) > 1 else 0
        what = to_come[place] if len(self.script.asks) > 1 else to_come.pop(0)
        slot = Slot(name)
        door.slots.append(slot)
        if what.status is not api.Status.TIMEOUT:
            self.loop.call_later(what.after / 1000.0, self._answer, door, slot, what)

    def _answer(self, door: Door, slot: Slot, what: Answers) -> None:
        """Not before all that was sent is on its way: what its answer brings about is to find it there.

        Guards against a cancel that overtakes the connect of what it cancels.
        """
        out = [attempt for call in self.driver.calls.values() for attempt in call.out.values()]
        if any(self._comes_up(attempt) for attempt in out):
            self.loop.call_later(TURN_S, self._answer, door, slot, what)
        else:
            door.answer(slot, TEXTS[what.status])

    def _comes_up(self, attempt: Attempt | None) -> bool:
        if attempt is None or self.script.nodes[attempt.server] is None:  # that node takes no connection
            return False
        return attempt.written == inf

    def left(self, door: Door) -> None:
        """A connection has ended: what was open on it is given up."""
        if not self.over:
            self.played.stopped += [(door.node.number, slot.ask) for slot in door.slots]
            self.news.set()

    def replied(self, line: Line, answer: Any) -> None:
        """There are no clients' connections here."""

    def broke(self, line: Line) -> None:
        """The same."""


async def play(script: Script) -> Trace:
    """A script on sockets."""
    return await Loopback(script).play()
