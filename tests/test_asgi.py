"""The middleware: what passes untouched, what is turned away and how; under uvicorn, with httpx."""

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import replace

import httpx
import pytest
import uvicorn
from fakes import SETTINGS, FakeServer, array, run, until
from fastapi import Depends, FastAPI, Request, WebSocket
from host import Server
from starlette.responses import StreamingResponse
from test_edge import PLANS, clean

from brackenloft import Limits, ListKind, Plan, ServerList
from brackenloft.asgi import Admit, Forward, HeaderMapper, QuotaMiddleware
from brackenloft.asgi.fastapi import admitted, install
from brackenloft.asgi.middleware import Incoming
from brackenloft.asgi.problem import quota_headers
from brackenloft.checks import FieldError
from brackenloft.edge import Call, Edge
from brackenloft.interface import Allowance
from brackenloft.net.resp import LONGEST_VALUE

WHO = {"x-customer": f"{5:016x}", "x-plan": "free"}
MANY = (*PLANS, Plan("two", rate=0.5, burst=2.0), Plan('bad"name', rate=1.0, burst=3.0))
LIMITS = Limits(max_attempts=2, can_cancel=True, can_advise_retry=True, max_retry_after_ms=9000.0)


def made(mapper=None, **changes) -> tuple[FastAPI, Edge]:
    """A host with a few routes behind the middleware."""
    edge = Edge(replace(SETTINGS, plans=MANY, limits=LIMITS, **changes), seed=1)

    @asynccontextmanager
    async def lifespan(app):
        async with edge:
            app.state.opened = True
            yield
            await edge.close(0.0)

    app = FastAPI(lifespan=lifespan)
    app.state.gates, app.state.entered = [], []
    app.add_middleware(QuotaMiddleware, edge=edge, mapper=mapper or HeaderMapper(edge.settings))

    @app.get("/slow")
    async def slow():
        app.state.entered.append(1)
        gate = asyncio.Event()
        app.state.gates.append(gate)
        await gate.wait()
        return {"slow": True}

    @app.api_route("/echo", methods=["GET", "POST"])
    async def echo(request: Request):
        parts = [len(part) async for part in request.stream()]
        return {"size": sum(parts), "granted": request.scope["brackenloft"].granted}

    @app.get("/stream")
    async def stream():
        async def parts():
            for number in range(3):
                yield f"{number}\n"
                await asyncio.sleep(0)

        return StreamingResponse(parts())

    @app.get("/broken")
    async def broken():
        raise RuntimeError("the host's own")

    @app.websocket("/ws")
    async def ws(socket: WebSocket):
        await socket.accept()
        await socket.send_text("hello")

    return app, edge


@asynccontextmanager
async def serving(app: FastAPI):
    """The application on a real socket, and a client for it."""
    server = Server(uvicorn.Config(app, port=0, log_level="critical"))
    task = asyncio.get_running_loop().create_task(server.serve())
    while not hasattr(server, "leave"):
        await asyncio.sleep(0)
    port = server.servers[0].sockets[0].getsockname()[1]
    try:
        async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{port}", timeout=30.0) as client:
            yield client
    finally:
        server.leave.set()
        await task


def test_served_with_quota_fields_and_refused_with_when_to_come_back():
    async def test():
        app, edge = made()
        async with serving(app) as client:
            two = WHO | {"x-plan": "two"}
            first = await client.get("/echo", headers=two)
            assert first.status_code == 200 and first.json() == {"size": 0, "granted": True}
            assert first.headers["ratelimit-policy"] == '"two";q=2;w=4'
            assert first.headers["ratelimit"] == '"two";r=1;t=2'
            answers = [await client.get("/echo", headers=two) for _ in range(3)]
            refused = answers[-1]
            assert refused.status_code == 429 and int(refused.headers["retry-after"]) >= 1
            assert refused.headers["content-type"] == "application/problem+json"
            assert refused.headers["ratelimit"].startswith('"two";r=0;t=')
            assert refused.json() == {**refused.json(), "status": 429, "type": "urn:brackenloft:over-quota"}
            free = await client.get("/echo", headers=WHO)
            assert free.status_code == 200 and "ratelimit" not in free.headers
            clean(edge)

    run(test())


@pytest.mark.parametrize(
    "headers, field",
    [
        ({}, "x-customer"),
        ({"x-customer": "c"}, "x-plan"),
        (WHO | {"x-plan": "none"}, "plan"),
        (WHO | {"x-units": "nan"}, "x-units"),
        (WHO | {"x-units": "9"}, "units"),
        (WHO | {"x-customer": "c" * 200}, "customer"),
        (WHO | {"prefer": "wait=0"}, "patience_ms"),
        ([("x-customer", "a"), ("x-customer", "b"), ("x-plan", "free")], "x-customer"),
    ],
)
def test_what_can_not_be_mapped_is_a_problem_that_names_the_field(headers, field):
    async def test():
        app, edge = made()
        async with serving(app) as client:
            answer = await client.get("/echo", headers=headers)
            assert answer.status_code == 400 and answer.json()["field"] == field
            assert not edge.driver.gateway.meter.customers
            clean(edge)

    run(test())


def test_method_and_key_say_the_class():
    settings = Edge(SETTINGS).settings
    mapper = HeaderMapper(settings)

    def mapped(method, *more):
        rows = [(b"x-customer", b"c"), (b"x-plan", b"free"), *more]
        return mapper({"path": "/a", "method": method, "headers": rows})

    key = (b"idempotency-key", b'"k1"')
    assert mapped("GET", key).call == Call("read", "free", "c")
    assert mapped("POST", key).call == Call("post", "free", "c", key="k1")
    assert mapped("DELETE").call == Call("buy", "free", "c")
    assert mapped("HEAD", (b"prefer", b"respond-async, wait=3")).call.patience_ms == 3000.0
    assert HeaderMapper(settings, prefix="/api")({"path": "/a", "method": "GET", "headers": []}) is None
    assert isinstance(
        HeaderMapper(settings, forward=True)(
            {"path": "/", "method": "GET", "headers": [(b"x-customer", b"c"), (b"x-plan", b"p")]}
        ),
        Forward,
    )


def test_lifespan_websockets_and_free_paths_pass_untouched():
    async def test():
        app, edge = made(mapper=lambda scope: None)
        async with serving(app) as client:
            assert app.state.opened
            assert (await client.get("/stream")).text == "0\n1\n2\n"
            assert edge.counters()["requests"] == 0
            sent = []
            messages = iter([{"type": "websocket.connect"}])

            async def receive():
                return next(messages)

            async def send(message):
                sent.append(message["type"])

            scope = {
                "type": "websocket",
                "path": "/ws",
                "headers": [],
                "query_string": b"",
                "subprotocols": [],
                "root_path": "",
                "scheme": "ws",
                "client": None,
                "server": None,
            }
            await QuotaMiddleware(app.router, edge, HeaderMapper(edge.settings))(scope, receive, send)
            assert sent[:2] == ["websocket.accept", "websocket.send"]

    run(test())


def test_mapper_that_fails_costs_its_own_request_alone():
    async def test():
        def mapper(scope):
            if scope["path"] == "/echo":
                raise KeyError("the host's mapper")
            return Admit(Call("read", "free", "c"))

        app, edge = made(mapper=mapper)
        async with serving(app) as client:
            answer = await client.get("/echo")
            assert answer.status_code == 500 and answer.json()["type"] == "urn:brackenloft:not-mapped"
            assert (await client.get("/stream")).status_code == 200
            clean(edge)

    run(test())


def test_mapper_may_be_a_coroutine_and_name_a_field():
    async def test():
        async def mapper(scope):
            await asyncio.sleep(0)
            raise FieldError("token", "has expired")

        app, _ = made(mapper=mapper)
        async with serving(app) as client:
            assert (await client.get("/echo")).json()["field"] == "token"

    run(test())


def test_host_that_fails_gives_its_place_back():
    async def test():
        app, edge = made()
        async with serving(app) as client:
            one = WHO | {"x-plan": "one"}
            for _ in range(3):
                assert (await client.get("/broken", headers=one)).status_code == 500
            assert (await client.get("/echo", headers=one)).status_code == 200
            clean(edge)

    run(test())


def test_client_that_leaves_while_it_waits_is_withdrawn_and_the_next_goes_on():
    async def test():
        app, edge = made()
        async with serving(app) as client:
            one = WHO | {"x-plan": "one"}
            first = asyncio.ensure_future(client.get("/slow", headers=one))
            await until(lambda: bool(app.state.gates))
            gone = asyncio.ensure_future(client.post("/echo", headers=one, content=b"x" * 100))
            await until(lambda: bool(edge.driver.gateway.parked))
            gone.cancel()
            await until(lambda: not edge.driver.gateway.parked)
            assert edge.counters()["gone"] == 1
            streaming = asyncio.ensure_future(client.post("/echo", headers=one, content=parts()))
            await until(lambda: bool(edge.driver.gateway.parked))
            app.state.gates[0].set()
            assert (await first).status_code == 200
            assert (await streaming).json()["size"] == 300_000
            assert app.state.entered == [1]
            clean(edge)

    async def parts():
        for _ in range(100):
            yield b"y" * 3000
            await asyncio.sleep(0)

    run(test())


def test_watch_for_a_client_that_leaves_reads_one_message_of_a_stream_at_most():
    async def test():
        read = []

        async def receive():
            read.append(1)
            return {"type": "http.request", "body": b"x", "more_body": len(read) < 100}

        incoming = Incoming(receive)
        watch = asyncio.ensure_future(incoming.left())
        for _ in range(20):
            await asyncio.sleep(0)
        watch.cancel()
        assert len(read) == 1 and await incoming.body(100) == b"x" * 100
        with pytest.raises(ValueError, match="more than 9"):
            read.clear()
            await incoming.body(9)

    run(test())


def test_sent_on_to_board_nodes_and_withdrawn_when_the_client_leaves():
    async def test():
        silent = []
        server = await FakeServer(
            lambda words: None if silent else array(words[4] if len(words) > 4 else b"board")
        ).start()
        app, edge = made(mapper=lambda scope: HeaderMapper(SETTINGS, forward=True)(scope))
        async with serving(app) as client:
            busy = await client.get("/x", headers=WHO | {"prefer": "wait=1"})
            assert busy.status_code == 503 and busy.headers["retry-after"] == "1"
            entry, address = server.entry(1)
            edge.told(ServerList(ListKind.FULL, (entry,)), {1: address})
            got = await client.get("/any", headers=WHO)
            assert (got.status_code, got.content) == (200, b"board")
            assert got.headers["content-type"] == "application/octet-stream"
            body = bytes(range(256)) * 500
            assert (await client.post("/any", headers=WHO, content=body)).content == body
            large = await client.post("/any", headers=WHO, content=b"x" * (LONGEST_VALUE + 1))
            assert large.status_code == 413 and large.json()["type"] == "urn:brackenloft:too-large"
            assert (await client.get("/any", headers=WHO | {"x-customer": "c"})).json()["field"] == "customer"
            silent.append(1)
            seen = len(server.commands)
            leaving = asyncio.ensure_future(client.post("/any", headers=WHO, content=b"buy"))
            await server.until(lambda: len(server.commands) == seen + 1)
            leaving.cancel()
            await until(lambda: not edge.driver.calls)
            assert len(server.commands) == seen + 1
            clean(edge)

    run(test())


@pytest.mark.parametrize("half_close", [False, True])
def test_client_whose_end_stood_behind_its_request_in_the_backlog_is_not_sent_on(half_close):
    async def test():
        server = await FakeServer().start()
        app, edge = made(mapper=lambda scope: HeaderMapper(SETTINGS, forward=True)(scope))
        async with serving(app) as client:
            entry, address = server.entry(1)
            edge.told(ServerList(ListKind.FULL, (entry,)), {1: address})
            port = client.base_url.port
            with socket.create_connection(("127.0.0.1", port)) as gone:
                fields = "".join(f"{name}: {value}\r\n" for name, value in WHO.items())
                gone.sendall(f"GET /any HTTP/1.1\r\nhost: x\r\n{fields}\r\n".encode())
                if half_close:
                    gone.shutdown(socket.SHUT_WR)
            assert (await client.get("/any", headers=WHO)).status_code == 200
            await until(lambda: not edge.driver.calls)
            assert len(server.commands) == 1 and edge.driver.counters.attempts == 1
            clean(edge)

    run(test())


def test_failed_is_a_bad_gateway_and_a_closed_edge_no_room():
    async def test():
        server = await FakeServer(lambda words: b"-ERR failed\r\n").start()
        app, edge = made(mapper=lambda scope: Forward(Call("buy", "free", f"{5:016x}")))
        async with serving(app) as client:
            entry, address = server.entry(1)
            edge.told(ServerList(ListKind.FULL, (entry,)), {1: address})
            assert (await client.post("/any")).status_code == 502
            await edge.close(0.0)
            closed = await client.post("/any")
            assert closed.status_code == 503 and closed.json()["type"] == "urn:brackenloft:closed"

    run(test())


def test_dependency_guards_one_route():
    async def test():
        app, edge = made(mapper=lambda scope: None)
        install(app)
        mapper = HeaderMapper(edge.settings)

        @app.get("/guarded", dependencies=[Depends(admitted(edge, mapper))])
        async def guarded():
            return {"in_hand": edge.granted_now}

        @app.get("/guarded-broken", dependencies=[Depends(admitted(edge, mapper))])
        async def guarded_broken():
            raise RuntimeError("the host's own")

        async with serving(app) as client:
            two = WHO | {"x-plan": "two"}
            first = await client.get("/guarded", headers=two)
            assert first.json() == {"in_hand": 1} and first.headers["ratelimit"].startswith('"two";r=1')
            answers = [await client.get("/guarded", headers=two) for _ in range(3)]
            assert answers[-1].status_code == 429 and "retry-after" in answers[-1].headers
            assert answers[-1].headers["content-type"] == "application/problem+json"
            assert (await client.get("/guarded")).json()["field"] == "x-customer"
            for _ in range(2):
                broken = await client.get("/guarded-broken", headers=WHO | {"x-plan": "one"})
                assert broken.status_code == 500
            await until(lambda: edge.granted_now == 0)
            clean(edge)

    run(test())


def test_field_values_are_structured_and_bounded():
    headers = dict(quota_headers('bad"name', Allowance(1.9, 3.0, 1.0, 1100.0)))
    assert headers[b"ratelimit-policy"] == b'"bad\\"name";q=3;w=3'
    assert headers[b"ratelimit"] == b'"bad\\"name";r=1;t=2'
    assert quota_headers("free", Allowance(0.0, 0.0, 0.0, 0.0)) == []
