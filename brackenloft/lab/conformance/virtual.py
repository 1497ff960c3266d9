"""A script in the world: its meaning of actions, with decisions and nodes by heart."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from brackenloft import interface as api
from brackenloft.lab.client_try import ClientTry, Seat
from brackenloft.lab.conformance.script import Answers, Asks, Script, Trace
from brackenloft.lab.nodes import Job, Node
from brackenloft.lab.spec import Class, Clients, Experiment, Gateways, Nodes, PlanSpec
from brackenloft.lab.world import World

KIND = Class(name="kind", aim_ms=10_000.0, deadline_ms=10_000.0)
PLAN = PlanSpec(name="plan", rate=1.0, burst=1.0, customers=1)


class ByHeart(Node):
    """A node that does with each command what the script says."""

    world: Scripted
    left: Iterator[Answers]

    def take(self, job: Job, error: float) -> api.Status | None:
        """A command has come."""
        what = next(self.left)
        if what.status is not api.Status.TIMEOUT:
            self.later(what.after, lambda job: None if job.dropped else job.done(job, what.status), job)
        return None

    def cancel(self, job: Job) -> None:
        """It has been given up."""
        job.dropped = True
        self.world.played.stopped.append((self.number, job.name))


class Scripted(World):
    """One gateway among nodes and clients by heart."""

    def __init__(self, script: Script) -> None:
        self.script, self.played = script, Trace(script)
        experiment = Experiment(
            name="script",
            classes=[KIND],
            plans=[PLAN],
            nodes=Nodes(count=len(script.nodes), zones=1),
            clients=Clients(retries=0, patience=1.0),
            gateways=Gateways(count=1, width=1),
        )
        super().__init__(experiment, lambda settings, seed: self.played, 1)

    def _node(self, number: int) -> Node:
        node = ByHeart(number, self.spec.nodes, 1.0, lambda: self.now, self.later)
        answers = self.script.nodes[number]
        node.up, node.world, node.left = answers is not None, self, iter(answers or ())
        return node

    def play(self) -> Trace:
        """To its end; what was seen."""
        for asks in self.script.asks:
            self.later(asks.at, self._asks, asks)
        while self.heap:
            self.now, _, call, argument = heapq.heappop(self.heap)
            call(argument)
        return self.played

    def _asks(self, asks: Asks) -> None:
        gives_up = self.now + asks.patience_ms
        ask = ClientTry(asks.name, self.customers[0], KIND, self.now, 9, self.now, gives_up, True)
        ask.gateway = 0
        self.hand_over(ask)
        if asks.leaves:
            self.later(asks.leaves, self.leave, ask)

    def settle(
        self, seat: Seat, ask: ClientTry, what: str, advice_ms: float = 0.0, over_quota: bool | None = None
    ) -> None:
        """A client has its answer."""
        self.played.answered(ask.name, what)
        super().settle(seat, ask, what, advice_ms, over_quota)


def play(script: Script) -> Trace:
    """A script in virtual time."""
    return Scripted(script).play()
