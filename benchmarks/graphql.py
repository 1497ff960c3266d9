"""GraphQL: what the check of a document costs, a read end to end, charges under faults, hostile documents.

Baselines: graphql-core's own parse and validate for the check; the same reads as RESP2 calls of the same
edge for the whole; the sum that the schema's weights give for the charges, by a formula of its own; the same
normal clients alone for the hostile ones. Each CPU figure is the least of some rounds, without the nodes,
which are a process of their own there.

    python -m benchmarks.graphql [--seed 1] [--only check|whole|charges|hostile]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import httpx
import uvloop
from graphql import parse, validate

from benchmarks.nodes import Echo
from brackenloft import Contract, Effect, KeyScope, Limits, Plan, RequestClass, Settings
from brackenloft.answers import Refused, Served
from brackenloft.edge import Call, Edge, Node, Room
from brackenloft.graphql import config
from brackenloft.graphql import plan as plans
from brackenloft.graphql.cost import Walk, bound
from brackenloft.graphql.daemon import Daemon
from brackenloft.graphql.documents import Documents, digest
from brackenloft.graphql.front import GraphQLFront, Price
from brackenloft.graphql.limits import Limits as Bounds
from brackenloft.graphql.nodes import DOOR, Answers, GraphqlReplyDecoder
from brackenloft.graphql.schema import Priced, load
from brackenloft.net.server_protocol import ServerProtocol
from brackenloft.standins import BoardNode, Fault, at_random
from brackenloft.standins.graphql import GraphqlBoard

SDL = (
    (Path(__file__).parent.parent / "deploy" / "board.graphql")
    .read_text()
    .replace("type Query {", 'type Query { slow(x: Int): Board @call(class: "read-slow")')
)
CLASSES = (
    RequestClass("read-board", 1000.0, 2000.0, Effect.SAFE),
    RequestClass("read-slow", 1000.0, 2000.0, Effect.SAFE),
    RequestClass("post-notice", 1000.0, 2000.0, Effect.KEYED, key_scope=KeyScope.ALL, key_memory_ms=6000.0),
    RequestClass("buy-highlight", 1000.0, 2000.0, Effect.UNSAFE),
)
WHOLE_QUOTA = 1e6  # units at once, and next to none a second: what is charged stays in the bucket
SETTINGS = Settings(
    gateways=2,
    index=0,
    zone="a",
    classes=CLASSES,
    plans=(Plan("free"), Plan("vast", rate=1e-6, burst=WHOLE_QUOTA), Plan("small", rate=1e-6, burst=150.0)),
    limits=Limits(max_attempts=3, can_cancel=True, connect_timeout_ms=500.0),
    contract=Contract(8.0, 1000.0, 0.2, 10_000.0, 3.0, 2000.0, 10_000.0),
    largest_units=100.0,
    settles=True,
    load_fields=("utilisation", "queue"),
    meter_period_ms=1000.0,
    tick_ms=2.0,
)
TYPICAL = """query Board($n: Int = 5, $with: Boolean = true) {
  boards(first: $n) { id title owner { name } ...Lights edits(first: 3) @include(if: $with) { count
    nodes { id text by { name } } } }
}
fragment Lights on Board { highlights(first: 2) { id until by { ...Who } } }
fragment Who on Member { name }"""
CHECKS, READS = 200, 300
CUSTOMERS = [f"{number:016x}" for number in range(1, 9)]
HEADERS = {"content-type": "application/json", "x-plan": "vast"}


def least_ms(work: Callable[[], Any], number: int = CHECKS, rounds: int = 5) -> float:
    """CPU of one, the least of some rounds."""
    found = []
    for _ in range(rounds):
        began = time.process_time()
        for _ in range(number):
            work()
        found.append((time.process_time() - began) * 1000.0 / number)
    return min(found)


# ---- The check of a document


def check(priced: Priced) -> dict[str, float]:
    """Cold, cached and persisted, beside the library's own parse and validate."""
    bounds = Bounds()
    documents = Documents(priced, bounds)
    prepared = documents.of(TYPICAL, None)
    operation = plans.choose(prepared, None)
    name = digest(TYPICAL)

    def plan_it(found: plans.Prepared) -> None:
        chosen = plans.choose(found, None)
        values = plans.coerce(priced, chosen, {"n": 7})
        plans.plan(found, chosen, values, priced, bounds)

    def cost() -> None:
        walk = Walk(priced, prepared.fragments, {"n": 7, "with": True}, bounds)
        bound(walk, query, operation.selection_set)

    query = priced.schema.query_type
    assert query
    return {
        "library_ms": least_ms(lambda: validate(priced.schema, parse(TYPICAL)), 20),
        "cold_ms": least_ms(lambda: plan_it(plans.prepare(TYPICAL, priced, bounds)), 20),
        "cached_ms": least_ms(lambda: plan_it(documents.of(TYPICAL, None))),
        "persisted_ms": least_ms(lambda: plan_it(documents.named(name))),
        "cost_ms": least_ms(cost),
    }


# ---- Nodes in a process of their own, which say the same to everything


class Canned(asyncio.Protocol):
    """A board of no depth, at once. Each request comes in one piece here."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(CANNED)  # type: ignore[attr-defined]


SMALL = "{ board(id: 1) { id title } }"
BODY = b'{"data":{"board":{"id":"id-7","title":"text"}}}'
CANNED = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/graphql-response+json\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
)


async def nodes(count: int) -> None:
    """Until who started it ends; prints the ports of RESP2, behind each of which is that of GraphQL."""
    loop, ports = asyncio.get_running_loop(), list[int]()
    while len(ports) < count:
        plain = await loop.create_server(Echo, "127.0.0.1", 0)
        port = plain.sockets[0].getsockname()[1]
        with suppress(OSError):  # the next port may be taken: another pair then
            await loop.create_server(Canned, "127.0.0.1", port + 1)
            ports.append(port)
    print(*ports, flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


# ---- A world of nodes that speak both protocols


class World:
    """Some gateways before the same nodes."""

    def __init__(self, priced: Priced, gateways: int, price: Price, fronted: bool = True) -> None:
        self.priced, self.gateways, self.price, self.fronted = priced, gateways, price, fronted
        self.edges: list[Edge] = []
        self.fronts: list[httpx.AsyncClient] = []
        self.away: subprocess.Popen[str] | None = None
        self.plain: list[BoardNode] = []
        self.graph: list[GraphqlBoard] = []

    async def open_near(self, number: int, script: Any = None) -> World:
        """Start with nodes that work and fail by a script, in this process."""
        self.plain = [await BoardNode(f"b{n}", work_s=0.0, script=script).start() for n in range(number)]
        self.graph = [await GraphqlBoard(self.priced.schema, script=script).start() for _ in range(number)]
        return self._open(
            [(board.port, graph.port) for board, graph in zip(self.plain, self.graph, strict=True)]
        )

    def open_away(self, number: int) -> World:
        """Start with nodes in a process of their own."""
        self.away = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.graphql", "--nodes", str(number)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.away.stdout
        ports = [int(port) for port in self.away.stdout.readline().split()]
        return self._open([(port, port + 1) for port in ports])

    def _open(self, pairs: list[tuple[int, int]]) -> World:
        ports = dict(pairs)
        for index in range(self.gateways):
            settings = replace(SETTINGS, index=index, gateways=self.gateways)
            edge = Edge(settings, Room(200, 64), seed=index).open()
            if self.fronted:
                protocol = ServerProtocol(Answers, GraphqlReplyDecoder())
                edge.open_door(DOOR, protocol, lambda at: (at[0], ports[at[1]]))
            edge.use([Node(f"b{port}", "127.0.0.1", port) for port in ports])
            self.edges.append(edge)
            if not self.fronted:
                continue
            front = GraphQLFront(edge, Documents(self.priced, Bounds()), self.price)
            self.fronts.append(
                httpx.AsyncClient(
                    transport=httpx.ASGITransport(app=front), base_url="http://gateway", headers=HEADERS
                )
            )
        return self

    async def close(self) -> None:
        """End them."""
        for front in self.fronts:
            await front.aclose()
        for edge in self.edges:
            await edge.close(0.0)
        for board in (*self.plain, *self.graph):
            board.close()
        if self.away and self.away.stdin:
            self.away.stdin.close()
            self.away.wait(10)

    def charged(self) -> float:
        """Units in all buckets of all gateways."""
        return (
            sum(
                customer.excess
                for edge in self.edges
                for customer in edge.driver.gateway.meter.customers.values()
            )
            / 1000.0
        )


async def whole(priced: Priced) -> dict[str, float]:
    """CPU of reads end to end, one after the other, so that nothing is measured but work."""
    world = World(priced, 1, Price()).open_away(2)
    edge, front = world.edges[0], world.fronts[0]
    body = json.dumps({"query": SMALL}).encode()
    headers = {**HEADERS, "x-customer": CUSTOMERS[0]}

    async def by_graphql() -> None:
        assert (await front.post("/graphql", content=body, headers=headers)).status_code == 200

    async def by_resp() -> None:
        assert isinstance(await edge.call(Call("read-board", "vast", CUSTOMERS[0])), Served)

    found = {}
    for name, ask in (("graphql", by_graphql), ("resp", by_resp)):
        times = []
        for _ in range(4):
            began = time.process_time()
            for _ in range(READS):
                await ask()
            times.append((time.process_time() - began) * 1000.0 / READS)
        found[f"{name}_ms"] = min(times)
    await world.close()
    return found


# ---- Charges


class Bill:
    """What should be charged, by a formula of its own: a point for each object, one for each field of one."""

    def __init__(self) -> None:
        self.due, self.answers = 0.0, dict[str, int]()

    def note(self, word: str) -> None:
        """An answer of that kind."""
        self.answers[word] = self.answers.get(word, 0) + 1


def boards(number: int) -> tuple[str, dict[str, float]]:
    """A read; points of its parts, and of the root."""
    return f"{{ boards(first: {number}) {{ id }} }}", {"boards": 1.0 + number}


def split(number: int) -> tuple[str, dict[str, float]]:
    """A read of two classes."""
    return (
        f"{{ boards(first: {number}) {{ id }} slow(x: 1) {{ owner {{ name }} }} }}",
        {"boards": 1.0 + number, "slow": 4.0},
    )


def buys(number: int) -> tuple[str, dict[str, float]]:
    """A mutation of two unsafe fields: 5 and 1 for its argument, and a purchase."""
    text = "mutation { a: buyHighlight(board: 1, days: 2) { id } b: buyHighlight(board: 2, days: 2) { id } }"
    return text, {"a": 7.0, "b": 7.0}


async def ask(world: World, bill: Bill, draw: random.Random) -> None:
    """One request of a customer through one of the gateways."""
    place, customer = draw.randrange(world.gateways), draw.choice(CUSTOMERS)
    plan = draw.choice(("vast", "vast", "small"))
    if draw.random() < 0.4:
        answer = await world.edges[place].call(Call("read-board", plan, customer, units=2.0, width=1))
        bill.note(f"resp {type(answer).__name__}")
        bill.due += 0.0 if isinstance(answer, Refused) else 2.0
        return
    text, points = draw.choice((boards, split, buys))(draw.randint(0, 12))
    headers = {**HEADERS, "x-customer": customer, "x-plan": plan}
    answer = await world.fronts[place].post("/graphql", json={"query": text}, headers=headers)
    bill.note(f"graphql {answer.status_code}")
    document = answer.json()
    if answer.status_code in (429, 503):
        return
    # What was admitted is charged whole, and no part of it for having been left undone: the lists of these
    # documents are as long as asked, so that the truth and the bound are one.
    assert answer.status_code in (200, 502), document
    bill.due += max(1.0, 1.0 + sum(points.values()))


async def charges(priced: Priced, seed: int) -> dict[str, Any]:
    """Mixed traffic of the same customers over two gateways, with failures, retries and splits."""
    script = at_random(
        seed,
        {Fault.RESET: 0.03, Fault.BUSY: 0.03, Fault.ERROR: 0.03, Fault.SPOILT: 0.02, Fault.HANG_UP: 0.03},
    )
    world = await World(priced, 2, Price(per_unit=1.0)).open_near(4, script)
    bill, draw = Bill(), random.Random(seed)
    for _ in range(40):
        await asyncio.gather(*(ask(world, bill, draw) for _ in range(25)))
    await asyncio.sleep(0.1)  # outcomes that are awaited behind the answers
    charged = world.charged()
    twice = sum(runs > 1 for graph in world.graph for (_, name), runs in graph.runs.items() if name in "ab")
    await world.close()
    return {
        "due": round(bill.due, 1),
        "charged": round(charged, 1),
        "twice": twice,
        "answers": bill.answers,
        "error_percent": round(100.0 * abs(charged - bill.due) / bill.due, 3),
    }


# ---- Hostile documents


def hostile(draw: random.Random) -> str:
    """One of the corpus, with a text of its own, so that no cache knows it."""
    name = f"x{draw.getrandbits(40)}"
    return draw.choice(
        (
            lambda: f"{{ {name}: " + "{ a " * 400 + "}" * 401,
            lambda: "{ " + f"{name} " * 900 + "}",
            lambda: "{ " + " ".join(f"{name}{n}: board(id: 1) {{ id }}" for n in range(300)) + " }",
            lambda: f"{{ boards(first: 1) {{ {name}: id " + "id " * 400 + "} }",
            lambda: f"{{ {name}(a: " + "[" * 900 + "]" * 900 + ") }",
            lambda: f"#{name}\n" * 700 + "{ a }",
            lambda: f'{{ board(id: "{name}' + "\\u0041" * 2000,
            lambda: f"{{ ...{name} }} fragment {name} on Query {{ ...{name} }}",
            lambda: f"{{ board(id: 1) {{ {name}: id " + "@skip(if: false) " * 200 + "} }",
            lambda: f"{{ {name}" + "x" * 30_000 + " }",
        )
    )()


class Client:
    """A client on one connection, as light as can be: its own work must not be what is measured."""

    async def open(self, port: int) -> Client:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        return self

    async def ask(self, customer: str, text: str) -> bytes:
        """The body of the answer to a document."""
        body = json.dumps({"query": text}).encode()
        head = (
            f"POST /graphql HTTP/1.1\r\nHost: gateway\r\nContent-Type: application/json\r\n"
            f"X-Plan: vast\r\nX-Customer: {customer}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.writer.write(head.encode() + body)
        told = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        size = int(told.partition(b"content-length: ")[2].partition(b"\r\n")[0])
        return await self.reader.readexactly(size)


async def gateway() -> None:
    """The program's own front before nodes elsewhere; prints its port."""
    world = World(load(SDL, SETTINGS), 1, Price(), fronted=False).open_away(2)
    document = config.Document("", "", port_offset=1)
    daemon = Daemon(
        config.Loaded(("127.0.0.1", 0), document, Documents(world.priced, Bounds())), world.edges[0]
    )
    print(daemon.address[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await daemon.close(1.0)
    await world.close()


async def attack(port: int, seconds: float, seed: int) -> None:
    """Four hostile customers; prints what they got."""
    draw, end, got = random.Random(seed), time.monotonic() + seconds, dict[str, int]()

    async def bad(customer: str) -> None:
        client = await Client().open(port)
        while time.monotonic() < end:
            code = json.loads(await client.ask(customer, hostile(draw)))["errors"][0]["extensions"]["code"]
            got[code] = got.get(code, 0) + 1
            await asyncio.sleep(0.1)

    await asyncio.gather(*(bad(f"{draw.getrandbits(32):016x}") for _ in range(4)))
    print(json.dumps(got))


async def normal(port: int, seconds: float) -> list[float]:
    """Times of normal clients, in ms: a hundred requests a second."""
    end, times = time.monotonic() + seconds, list[float]()

    async def one(number: int) -> None:
        client = await Client().open(port)
        await asyncio.sleep(0.01 * number)
        while time.monotonic() < end:
            began = time.perf_counter()
            answer = await client.ask(CUSTOMERS[number], SMALL)
            assert b'"data"' in answer, answer
            times.append((time.perf_counter() - began) * 1000.0)
            await asyncio.sleep(0.08)

    await asyncio.gather(*(one(number) for number in range(len(CUSTOMERS))))
    return times


def program(*words: str) -> subprocess.Popen[str]:
    """One of the parts above, as a process."""
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks.graphql", *words],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


async def beside_hostile(seed: int) -> dict[str, Any]:
    """Normal clients alone and beside hostile ones, in turn; each side a process of its own."""
    served = program("--gateway")
    assert served.stdin and served.stdout
    port = int(served.stdout.readline())
    alone, among, got = list[float](), list[float](), dict[str, int]()
    await normal(port, 1.0)
    for number in range(3):
        alone += await normal(port, 3.0)
        attackers = program("--attack", str(port), "--seed", str(seed + number))
        await asyncio.sleep(0.7)  # until it has been imported
        among += await normal(port, 3.0)
        out = await asyncio.to_thread(lambda process=attackers: process.communicate()[0])
        got = {code: got.get(code, 0) + number for code, number in json.loads(out).items()} | {
            code: number for code, number in got.items() if code not in json.loads(out)
        }
    served.stdin.close()
    served.wait(10)

    def p(times: list[float], share: float) -> float:
        return round(statistics.quantiles(times, n=100)[int(share * 100) - 1], 2)

    return {
        "alone_p50": p(alone, 0.5),
        "alone_p99": p(alone, 0.99),
        "among_p50": p(among, 0.5),
        "among_p99": p(among, 0.99),
        "p99_ratio": round(p(among, 0.99) / p(alone, 0.99), 3),
        "answered": [len(alone), len(among)],
        "hostile": got,
    }


async def main(options: argparse.Namespace) -> None:
    """Measure, print, and end with one line of JSON."""
    priced = load(SDL, SETTINGS)
    last: dict[str, Any] = {}
    seed = options.seed
    parts: dict[str, Callable[[], Any]] = {
        "check": lambda: check(priced),
        "whole": lambda: whole(priced),
        "charges": lambda: charges(priced, seed),
        "hostile": lambda: beside_hostile(seed),
    }
    found: dict[str, Any] = {}
    for name, measure in parts.items():
        if options.only in (None, name):
            result = measure()
            found[name] = await result if asyncio.iscoroutine(result) else result
            print(name, found[name], flush=True)
    if "check" in found:
        figures = found["check"]
        last |= {
            "cached_over_cold_cpu": round(figures["cached_ms"] / figures["cold_ms"], 4),
            "persisted_over_cold_cpu": round(figures["persisted_ms"] / figures["cold_ms"], 4),
            "cost_over_parse_cpu": round(figures["cost_ms"] / figures["library_ms"], 4),
            "cold_over_parse_cpu": round(figures["cold_ms"] / figures["library_ms"], 3),
        }
    if "whole" in found:
        figures = found["whole"]
        last["graphql_over_resp_cpu"] = round(figures["graphql_ms"] / figures["resp_ms"], 2)
    if "charges" in found:
        figures = found["charges"]
        last |= {"charge_error_percent": figures["error_percent"], "ran_twice": figures["twice"]}
    if "hostile" in found:
        last["hostile_p99_ratio"] = found["hostile"]["p99_ratio"]
    print(json.dumps(last))


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", choices=("check", "whole", "charges", "hostile"))
    parser.add_argument("--nodes", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--gateway", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--attack", type=int, help=argparse.SUPPRESS)
    words = parser.parse_args()
    if words.nodes:
        uvloop.run(nodes(words.nodes))
    elif words.gateway:
        uvloop.run(gateway())
    elif words.attack:
        uvloop.run(attack(words.attack, 3.5, words.seed))
    else:
        uvloop.run(main(words))
