"""The whole of it on loopback: discovery, board nodes, a gateway, its clients, some trouble."""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Callable

from brackenloft import interface as api
from brackenloft.edge import Edge
from brackenloft.standins.board import BoardNode
from brackenloft.standins.discovery import Agent
from brackenloft.standins.load import Member, Tally, drive
from brackenloft.standins.meter import Meter, Quota

READ = api.RequestClass("read-board", 2000.0, 5000.0, api.Effect.SAFE, worth=1.0)
POST = api.RequestClass(
    "post-notice",
    1000.0,
    3000.0,
    api.Effect.KEYED,
    worth=2.0,
    key_scope=api.KeyScope.ZONE,
    key_memory_ms=6000.0,
)
BUY = api.RequestClass("buy-highlight", 2000.0, 8000.0, api.Effect.UNSAFE, worth=3.0)
PLANS = (
    api.Plan("bairro", rate=4.0, burst=6.0),
    api.Plan("cidade", rate=20.0, burst=20.0),
    api.Plan("estadual", rate=40.0, burst=40.0, max_in_flight=20, ceiling_rate=80.0, ceiling_burst=80.0),
)
SETTINGS = api.Settings(
    gateways=1,
    index=0,
    zone="sala-a",
    classes=(READ, POST, BUY),
    plans=PLANS,
    limits=api.Limits(max_attempts=3, can_cancel=True, can_advise_retry=True, max_retry_after_ms=3000.0),
    contract=api.Contract(8.0, 1000.0, 0.2, 16_000.0, 2.5, 1000.0, 10_000.0),
    load_fields=("utilisation", "queue"),
    meter_period_ms=1000.0,
    tick_ms=1.0,
    cross_zone_price=0.01,
)
ALL = (READ, POST, BUY)
MEMBERS = [  # the second asks for five times its quota
    Member(1, "bairro", 3.0, ALL),
    Member(2, "bairro", 20.0, ALL),
    Member(3, "cidade", 15.0, ALL),
    Member(4, "estadual", 35.0, ALL),
]
WORK_S = 0.03
HEADER = "  s   asked  served    held refused  failed   p50 ms   what happens"


async def run(seconds: float, say: Callable[[str], None], seed: int = 1) -> Tally:
    """Serve for so many seconds, with a line for each; the clients' tally, each request answered once."""
    meter = Meter({plan.name: Quota(plan.rate) for plan in PLANS})
    nodes = [
        BoardNode(f"board-{n}", zone, WORK_S, meter=meter, seed=seed + n)
        for n, zone in enumerate(("sala-a", "sala-a", "sala-b", "sala-b"), 1)
    ]
    agent, tally = await Agent().start(), Tally()
    for node in nodes:
        await node.start()
    await agent.put(*(node.row() for node in nodes))
    try:
        async with Edge(SETTINGS, seed=seed) as edge:
            edge.watch(("127.0.0.1", agent.port))
            host, port = edge.listen("127.0.0.1", 0)
            await edge.wait_ready()
            say(
                f"gateway on {host}:{port}, {len(nodes)} board nodes, {len(MEMBERS)} members; "
                f"member 2 asks for five times its quota"
            )
            say(HEADER)
            asking = asyncio.ensure_future(drive(port, MEMBERS, seconds, tally, seed))
            await _watch(seconds, edge, tally, nodes, agent, say)
            await asking
    finally:
        agent.close()
        for node in nodes:
            node.close()
    _sum_up(tally, nodes, say)
    return tally


async def _watch(
    seconds: float,
    edge: Edge,
    tally: Tally,
    nodes: list[BoardNode],
    agent: Agent,
    say: Callable[[str], None],
) -> None:
    """A line a second; a node leaves at a third of the time, another dies and is back at two thirds."""
    loop = asyncio.get_running_loop()
    start, second = loop.time(), 0
    third = max(1, int(seconds / 3.0))
    trouble = {third: "board-1 drains", 2 * third: "board-4 restarts"}
    while loop.time() - start < seconds:
        second += 1
        event = trouble.get(second, "")
        if event == "board-1 drains":
            nodes[0].drain()
            await agent.put(nodes[0].row())
        elif event:
            await nodes[3].restart()
            await agent.put(nodes[3].row())
        await asyncio.sleep(max(0.0, start + min(float(second), seconds) - loop.time()))
        counted, middle = edge.counters(), statistics.median(tally.times) if tally.times else 0.0
        say(
            f"{second:3d} {tally.asked:7d} {counted['served']:7.0f} {counted['held']:7.0f} "
            f"{counted['refused_quota'] + counted['refused_busy']:7.0f} {counted['failed']:7.0f} "
            f"{middle:8.1f}   {event}".rstrip()
        )


def _sum_up(tally: Tally, nodes: list[BoardNode], say: Callable[[str], None]) -> None:
    for plan in PLANS:
        counts = {word: tally.by_plan[plan.name, word] for word in ("served", "refused", "failed")}
        say(f"plan {plan.name:9}" + "".join(f" {word} {count:5d}" for word, count in counts.items()))
    twice = sum(count > 1 for node in nodes for count in node.runs.values())
    say(
        f"asked {tally.asked}, answered {sum(tally.answers.values()) - tally.answers['missing']}, "
        f"run twice at a node {twice}"
    )
