"""Random scripts of calls, cancellations, faults and loop stalls on sockets; nothing is left after each."""

import asyncio
import time

from fakes import HOUSINGS, housing, node, run
from hypothesis import given, settings
from hypothesis import strategies as st
from test_edge import PLANS, clean

from brackenloft import Effect, Limits, RequestClass
from brackenloft.edge import Call, Edge, Failed, Granted, Node, Refused, Served
from brackenloft.standins import BoardNode, Fault

CLASSES = (
    RequestClass("read", 150.0, 250.0, Effect.SAFE),
    RequestClass("buy", 150.0, 250.0, Effect.UNSAFE),
    RequestClass("post", 150.0, 250.0, Effect.KEYED, key_memory_ms=6000.0),
)
NODES = 2
NAMES = st.sampled_from([plan.name for plan in PLANS])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("call"), st.sampled_from(("read", "buy", "post")), NAMES),
        st.tuples(st.just("admit"), st.sampled_from(("read", "buy")), NAMES),
        st.tuples(st.just("cancel"), st.integers(0, 20), st.none()),
        st.tuples(st.just("fault"), st.integers(0, NODES - 1), st.sampled_from((None, *Fault))),
        st.tuples(
            st.just("node"), st.integers(0, NODES - 1), st.sampled_from(("refuse", "restart", "drain"))
        ),
        st.tuples(st.just("stall"), st.sampled_from((30, 120, 300)), st.none()),
        st.tuples(st.just("sleep"), st.sampled_from((0, 1, 20)), st.none()),
    ),
    min_size=4,
    max_size=25,
)


class Run:
    """One script on one gateway."""

    def __init__(self, edge: Edge, boards: list[BoardNode]) -> None:
        self.edge, self.boards, self.tasks = edge, boards, list[asyncio.Task]()
        self.faults: list[Fault | None] = [None] * NODES
        for number, board in enumerate(boards):
            board.script = lambda _, number=number: self.faults[number]

    def start(self, kind: str, plan: str, local: bool) -> None:
        key = "k1" if kind == "post" else None
        call = Call(kind, plan, f"{7:016x}", key=key, request_id=f"{len(self.tasks):x}")

        async def admitted():
            async with self.edge.admit(call) as admission:
                await asyncio.sleep(0.01)
                return admission.answer

        self.tasks.append(asyncio.ensure_future(admitted() if local else self.edge.call(call)))

    async def step(self, what, first, second) -> None:
        if what in ("call", "admit"):
            self.start(first, second, what == "admit")
        elif what == "cancel" and self.tasks:
            self.tasks[first % len(self.tasks)].cancel()
        elif what == "fault":
            self.faults[first] = second
        elif what == "node":
            await self.trouble(self.boards[first], second)
        elif what == "stall":
            time.sleep(first / 1000.0)  # noqa: ASYNC251
        elif what == "sleep":
            await asyncio.sleep(first / 1000.0)

    async def trouble(self, board: BoardNode, what: str) -> None:
        if what == "refuse":
            board.refuse()
        elif what == "restart":
            await board.restart()
        else:
            board.drain()
        self.edge.use(Node(item.name, "127.0.0.1", item.port, draining=item.draining) for item in self.boards)


async def play(steps) -> None:
    boards = [await BoardNode(f"b{n}", work_s=0.002, slow_s=0.2).start() for n in range(NODES)]
    before = asyncio.all_tasks()
    async with node(classes=CLASSES, plans=PLANS, limits=Limits(max_attempts=3, can_cancel=True)) as gateway:
        edge = gateway.edge
        edge.use([Node(board.name, "127.0.0.1", board.port) for board in boards])
        script = Run(edge, boards)
        for step in steps:
            await script.step(*step)
        answers = await asyncio.gather(*script.tasks, return_exceptions=True)
        for answer in answers:
            assert isinstance(answer, Served | Refused | Failed | Granted | asyncio.CancelledError)
        while edge.driver.calls:  # attempts whose callers have left
            await asyncio.sleep(0.001)
        clean(edge)
        counted = edge.counters()
        ends = ("served", "granted", "refused_quota", "refused_busy", "failed", "gone")
        assert sum(counted[name] for name in ends) == counted["requests"]
        asked = [step[1] for step in steps if step[0] in ("call", "admit")]
        for name in (f"{number:x}".encode() for number, kind in enumerate(asked) if kind == "buy"):
            assert sum(board.runs.get(name, 0) for board in boards) <= 1
    timers = edge.driver.timers
    assert not timers and timers.alarm is None and edge.driver.lag.beat is None
    for board in boards:
        board.close()
    await asyncio.sleep(0.01)
    left = {task for task in asyncio.all_tasks() - before if "BoardNode" not in repr(task)}
    assert not left


@settings(derandomize=True, max_examples=30, deadline=None)
@given(STEPS)
def test_nothing_is_left_after_any_script(steps):
    run(play(steps))


@settings(derandomize=True, max_examples=10, deadline=None)
@given(STEPS)
def test_nothing_is_left_after_any_script_on_the_plain_loop(steps):
    housing["now"] = HOUSINGS[2]
    run(play(steps))
