"""An operation's attempts, begun and awaited in the plan's order, and their answers joined into one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from brackenloft.answers import Answer, Refused, Served
from brackenloft.edge import Call, Edge, Pending
from brackenloft.edge.calls import CallRoute
from brackenloft.graphql import cost as costs
from brackenloft.graphql import nodes
from brackenloft.graphql.cost import Cost, Walk
from brackenloft.graphql.limits import Code
from brackenloft.graphql.plan import Part, Plan
from brackenloft.graphql.requests import error
from brackenloft.net.attempt import Reply

HOST = "board"  # of the commands: nodes are addressed, not named
LEAST_UNITS = 1e-6  # of a paid part: units say its worth beside others, and nothing can be worth nothing


@dataclass(frozen=True, slots=True)
class Caller:
    """Who asks, and for how long it waits."""

    customer: str
    plan: str
    patience_ms: float | None = None
    width: int = 1
    first_gateway: int = 0


@dataclass(slots=True)
class Result:
    """What became of a part."""

    part: Part
    answer: Answer | None = None  # None: it was not begun
    document: dict[str, Any] | None = None
    cost: Cost | None = None  # the true one

    @property
    def served(self) -> bool:
        """Whether a node has run it."""
        return isinstance(self.answer, Served)


@dataclass(slots=True)
class Joined:
    """The answer to the whole operation."""

    data: dict[str, Any] | None = None
    errors: list[dict[str, Any]] = field(default_factory=list)
    refused: Refused | None = None  # all of it: nothing has run
    served: bool = False  # some of it
    cost: Cost = Cost()


class Run:
    """One operation in hand."""

    def __init__(
        self,
        edge: Edge,
        plan: Plan,
        caller: Caller,
        walk: Walk,
        given: Mapping[str, Any],
        keys: list[str | None],
        units: float,
        per_unit: float,
        least: float,
    ) -> None:
        self.edge, self.plan, self.caller, self.walk, self.given = edge, plan, caller, walk, given
        self.keys, self.units, self.per_unit, self.least = keys, units, per_unit, least
        self.results = [Result(part) for part in plan.parts]

    async def whole(self) -> Joined:
        """Run all parts; cancelled, what is in hand is withdrawn."""
        if self.plan.ordered or len(self.results) == 1:
            await self._in_order()
        else:
            await self._side_by_side()
        return join(self.plan, self.results)

    async def _in_order(self) -> None:
        for number, result in enumerate(self.results):
            result.answer = await self._begin(number, None).wait()
            if not result.served or _is_null(result):
                return

    async def _side_by_side(self) -> None:
        """The others are begun when the first one is sent: until then it may be refused, and all with it."""
        admitted = asyncio.Event()
        first = asyncio.ensure_future(self._begin(0, admitted.set).wait())
        rest: list[asyncio.Future[Answer]] = []
        waiting = asyncio.ensure_future(admitted.wait())
        try:
            await asyncio.wait((first, waiting), return_when=asyncio.FIRST_COMPLETED)
            if admitted.is_set():
                rest = [
                    asyncio.ensure_future(self._begin(number, None).wait())
                    for number in range(1, len(self.results))
                ]
            for result, answer in zip(self.results, [first, *rest], strict=False):
                result.answer = await answer
        finally:  # also when the client has left
            tasks: list[asyncio.Future[Any]] = [waiting, first, *rest]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _begin(self, number: int, sent: Callable[[], None] | None) -> Pending:
        """Ask for a part. The first one pays for all; the true cost of each puts that right."""
        result, caller, edge = self.results[number], self.caller, self.edge
        part = result.part
        share = max(LEAST_UNITS, part.cost.total / self.per_unit)
        units = self.units if number == 0 else min(share, self.units)
        call = Call(
            part.class_name,
            caller.plan,
            caller.customer,
            units=units,
            patience_ms=caller.patience_ms,
            width=caller.width,
            first_gateway=caller.first_gateway,
            key=self.keys[number],
            paid=number > 0,
        )
        variables = {name: value for name, value in self.given.items() if name in part.variables}

        def encode(request_id: str, wait_ms: float) -> bytes:
            if sent:
                sent()
            return nodes.command(
                HOST,
                part.document,
                part.operation,
                variables,
                self.keys[number],
                request_id,
                caller.customer,
                caller.plan,
                part.class_name,
                wait_ms,
                units,
            )

        def weigh(reply: Reply) -> None:
            result.document = reply.parsed
            data = reply.parsed.get("data") if isinstance(reply.parsed, dict) else None
            fields = costs.actual(self.walk, self.plan.root, self.plan.selections, data)
            true = Cost(fields.types - self.walk.priced.types[self.plan.root.name], fields.fields)
            result.cost = costs.charged(part.cost, true if data is not None else Cost())
            less = part.cost.total - result.cost.total
            whole = (self.plan.cost.total if number == 0 else part.cost.total) - less
            reply.cost = max(self.least if number == 0 else 0.0, whole / self.per_unit)

        return edge.begin(call, route=CallRoute(nodes.DOOR, encode, weigh))


def _is_null(result: Result) -> bool:
    """Whether a node has given up the whole answer, as a field that may not be null failed."""
    return result.document is not None and result.document.get("data") is None


def join(plan: Plan, results: list[Result]) -> Joined:
    """One answer of all parts' answers, in the order of the document."""
    first = results[0].answer
    if isinstance(first, Refused):
        return Joined(refused=first)
    joined, found, whole = Joined(), dict[str, Any](), True
    for result in results:
        document = result.document if result.served else None
        if document is None:
            joined.errors += _unserved(result, joined.served)
            found |= dict.fromkeys(result.part.names)
            whole = whole and result.part.nullable
            continue
        joined.served = True
        joined.cost = joined.cost.plus(result.cost or Cost())
        joined.errors += [item for item in document.get("errors") or [] if isinstance(item, dict)]
        data = document["data"]
        whole = whole and data is not None
        found |= {name: value for name, value in (data or {}).items() if name in result.part.names}
    if whole and joined.served:
        joined.data = {name: found[name] for name in plan.order if name in found}
    return joined


def _unserved(result: Result, others: bool) -> list[dict[str, Any]]:
    """What is told of a part that no node has answered: whether it may have run."""
    answer = result.answer
    if answer is None:
        code, words, ran = Code.NOT_RUN, "It was not run, as what stands before it was not done.", "no"
    elif isinstance(answer, Refused):
        code, words, ran = Code.BUSY, "Nothing of it was done.", "no"
    else:
        code, words, ran = Code.FAILED, "It failed, and may have been done all the same.", "unknown"
    return [error(code, words, [name], ran=ran) for name in result.part.names]
