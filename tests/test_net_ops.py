"""Operators' calls and what clients see of them, over loopback, in every housing of the gateway."""

import asyncio
import json
import socket
from contextlib import asynccontextmanager

import pytest
from fakes import FakeServer, array, call, node, resp, run, until

from brackenloft.cli import main
from brackenloft.lifecycle import Event, State
from brackenloft.net import clients
from brackenloft.ops import address as module
from brackenloft.ops.station import Station


class Operator:
    """Calls the second address as a plain HTTP client would."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def raw(self, *pieces: bytes) -> tuple[int, dict[str, str], bytes]:
        """Write these pieces, a turn of the loop between; status, headers and body of the one answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0)
        answer = await reader.read()
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        status, *lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        assert int(headers["content-length"]) == len(body) and headers["connection"] == "close"
        return int(status.split()[1]), headers, body

    async def __call__(self, method: str, path: str) -> tuple[int, dict]:
        status, _, body = await self.raw(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        return status, json.loads(body)


@asynccontextmanager
async def manned(*fakes, **changes):
    """A gateway with a second address."""
    async with node(*fakes, **changes) as gateway:
        station = Station(gateway.edge, ("127.0.0.1", 0))
        try:
            operator = Operator(station.address.port)
            operator.station = station
            yield gateway, operator
        finally:
            station.close()


def test_figures_tell_each_request_once_by_its_end():
    async def test():
        silent = []
        server = FakeServer(lambda words: silent.append(words) if words[2].endswith(b"9") else array(b"v"))
        async with manned(server) as (gateway, ask):
            peer = await gateway.peer()
            before = (await ask("GET", "/-/metrics"))[1]
            assert before["handled"] == {
                name: {"passed": 0, "dropped": 0, "bad_gateway": 0} for name in ("read", "post", "buy")
            }
            assert await peer.ask(call(1)) == await peer.ask(call(2, "post")) == b"v"
            assert await peer.ask(call(3, plan="tiny")) == b"v"
            assert (await peer.ask(call(5, plan="tiny"))).startswith("-BUSY")
            assert (await peer.ask(call(6, "buy").replace(b"free", b"nope"))).startswith("-ERR")
            peer.send(call(9))
            await server.until(lambda: silent)
            figures = (await ask("GET", "/-/metrics"))[1]
            assert figures["handled"]["read"] == {"passed": 2, "dropped": 1, "bad_gateway": 0}
            assert figures["handled"]["post"] == {"passed": 1, "dropped": 0, "bad_gateway": 0}
            assert (figures["upstream_tries"], figures["in_progress"]) == (4, 1)
            assert (figures["known_servers"], figures["skipped_servers"]) == (1, 0)
            assert figures["breaches"] == {} and figures["connections_closed"] == {}
            gateway.clients.most_held = -1  # no memory: turned back before the decisions hear of it
            assert await (await gateway.peer()).ask(call(8, "buy")) == "-BUSY"
            assert (await ask("GET", "/-/metrics"))[1]["handled"]["buy"]["dropped"] == 1

    run(test())


def test_drain_says_no_serves_what_comes_and_empties_until_resume():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"9") else array(b"v"))
        async with manned(server) as (gateway, ask):
            idle, busy, within = [await gateway.peer() for _ in range(3)]
            assert await idle.ask(call(1)) == b"v"
            busy.send(call(9))
            await server.until(lambda: len(server.commands) == 2)
            whole = call(2, "post")
            within.send(whole[:-3])
            await until(lambda: gateway.clients.held > len(call(9)))
            assert (await ask("GET", "/-/ready"))[0] == 200
            assert await ask("POST", "/-/drain") == (200, {"state": "draining"})
            assert await ask("POST", "/-/drain") == (200, {"state": "draining"})
            assert (await ask("GET", "/-/ready"))[0] == 503
            late = await gateway.peer()
            assert (await late.ask(resp("PING"))).startswith("-LOADING draining")
            assert await late.ask(call(3)) == b"v"  # still served, on what had been open
            assert await idle.reply() is None and await late.reply() is None
            within.send(whole[-3:])
            assert await within.reply() == b"v" and await within.reply() is None
            server.writers[0].write(array(b"late"))
            for writer in server.writers[1:]:
                writer.write(array(b"late"))
            assert await busy.reply() == b"late" and await busy.reply() is None
            assert await ask("POST", "/-/resume") == (200, {"state": "ready"})
            again = await gateway.peer()
            assert await again.ask(resp("PING")) == b"PONG"
            assert await again.ask(call(4)) == b"v" and await again.ask(call(5)) == b"v"

    run(test())


def test_who_never_pauses_or_never_ends_a_command_is_let_go_after_a_while(monkeypatch):
    async def test():
        monkeypatch.setattr(clients, "FINISH_S", 0.0)
        async with manned(FakeServer()) as (gateway, ask):
            within = await gateway.peer()
            within.send(b"*4\r\n")
            await until(lambda: gateway.clients.held)
            await ask("POST", "/-/drain")
            assert [await within.reply(), await within.reply()] == ["-BUSY", None]

    run(test())


def test_drain_while_starting_holds_until_resume():
    async def test():
        async with manned(FakeServer()) as (gateway, ask):
            gateway.edge.lifecycle.state = State.STARTING
            assert (await ask("GET", "/-/ready")) == (503, {"state": "starting"})
            assert (await ask("POST", "/-/drain"))[1] == {"state": "held back"}
            gateway.edge.lifecycle.happens(Event.LISTED)
            assert (await ask("GET", "/-/ready")) == (503, {"state": "draining"})
            assert (await ask("POST", "/-/resume"))[1] == {"state": "ready"}

    run(test())


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET /-/nothing HTTP/1.1\r\n\r\n", 404),
        (b"GET /-/drain HTTP/1.1\r\n\r\n", 405),
        (b"POST /-/ready HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 405),
        (b"*1\r\n$4\r\nPING\r\n", 400),
        (b"GET /-/ready HTTP/7.1\r\n\r\n", 400),
        (b"GET /-/ready HTTP/1.1\r\nX: " + b"y" * module.LONGEST_CALL, 431),
        (b"GET /-/ready?a=1 HTTP/1.1\r\n\r\nGET /-/unknown HTTP/1.1\r\n\r\n", 200),
    ],
)
def test_bad_calls_are_answered_at_once_and_only_the_first_of_two(sent, status):
    async def test():
        async with manned(FakeServer()) as (_, ask):
            assert (await ask.raw(sent))[0] == status
            assert (await ask.raw(*(bytes([byte]) for byte in sent[:64]), sent[64:]))[0] == status

    run(test())


def test_callers_who_hold_a_connection_do_not_keep_the_others_out():
    async def test():
        async with manned(FakeServer()) as (gateway, ask):
            holders = [await asyncio.open_connection("127.0.0.1", ask.port) for _ in range(50)]
            holders[-1][1].write(b"GET /-/re")
            for _ in range(5):
                assert (await ask("GET", "/-/ready"))[0] == 200
            ended = [reader for reader, _ in holders if reader.at_eof() or reader.exception()]
            assert len(ended) >= 50 - module.PLACES
            for _, writer in holders:
                writer.close()

    run(test())


def test_a_listener_that_was_inherited_is_shared_and_closing_it_resets_nobody():
    async def test():
        server = FakeServer(lambda words: array(b"v"))
        with socket.create_server(("127.0.0.1", 0)) as held:
            async with node(server) as gateway:
                gateway.clients._close_listener()
                assert gateway.edge.inherit(held.dup().detach())[1] == held.getsockname()[1]
                peer = await gateway.peer()
                assert await peer.ask(call(1)) == b"v"
                gateway.clients.stop_listening()
                assert await peer.reply() is None
                with socket.create_connection(held.getsockname()) as waiting:
                    waiting.sendall(resp("PING"))
                    held.accept()[0].close()  # whoever else holds it is served
        with socket.socket() as other, pytest.raises(OSError):
            gateway.clients.inherit(other.detach())

    run(test())


def test_without_descriptors_callers_are_tried_again_later_and_not_without_end():
    async def test():
        async with manned(FakeServer()) as (gateway, ask):
            place = ask.station.address
            real, tries = place.listener, []

            class Short:
                def accept(self):
                    tries.append(1)
                    raise OSError(24, "too many open files")

                def __getattr__(self, name):
                    return getattr(real, name)

            place.listener = Short()
            asking = asyncio.ensure_future(ask("GET", "/-/ready"))
            await until(lambda: tries)
            assert not place.taking
            place.listener = real
            assert (await asking)[0] == 200 and len(tries) == 1 and place.taking

    run(test())


def test_the_command_line_calls_it_and_its_exit_code_says_yes_or_no(capsys):
    async def test():
        async with manned(FakeServer()) as (gateway, ask):

            def ops(*words):
                return asyncio.to_thread(main, ["ops", *words, "--at", f"127.0.0.1:{ask.port}"])

            assert await ops("ready") == 0
            assert await ops("drain") == 0 and await ops("ready") == 1
            waits = asyncio.ensure_future(ops("ready", "--wait", "60"))
            assert await ops("metrics", "--json") == 0
            assert await ops("resume") == 0 and await waits == 0
            assert await ops("metrics") == 0
            gateway.edge.lifecycle.happens(Event.HAND)
            assert await ops("drain") == 1
            gateway.edge.lifecycle.happens(Event.KEEP)
        assert await ops("ready") == 2

    run(test())
    out, err = capsys.readouterr()
    assert '"known_servers": 1' in out and "no drain while handing over" in out and "post " in out
    assert "no answer from" in err
