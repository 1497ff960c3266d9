"""Control servers whose clients send anything: bounds, and what is refused."""

import asyncio
import contextlib

import pytest
from control_cluster import EMPTY_DIGEST, cluster, document, follower, plans
from fakes import run

from brackenloft.configuration import codec, server
from brackenloft.configuration.messages import (
    CHUNK_PATH,
    FOLLOW_PATH,
    PUBLISH_PATH,
    Busy,
    Changes,
    ChunkRequest,
    FollowRequest,
    Published,
    PublishRequest,
)
from brackenloft.configuration.model import Delta
from brackenloft.configuration.server_config import Bounds


async def raw(servers, data, wait=True):
    """What comes back to bytes that were sent to the first server."""
    host, _, port = servers.configs[0].listen.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        return await reader.read() if wait else (reader, writer)
    finally:
        if wait:
            writer.close()


def head(path, length, more=""):
    return f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n{more}\r\n".encode()


GOOD = codec.encode(FollowRequest(follower(), 0, EMPTY_DIGEST))
BAD_REQUESTS = {
    "garbage": b"garbage",
    "another message": codec.encode(PublishRequest(Delta(0))),
    "truncated": GOOD[:-3],
    "a bit": GOOD[:-1] + bytes([GOOD[-1] ^ 1]),
    "a name": codec.encode(FollowRequest(follower("a b"), 0, EMPTY_DIGEST)),
    "a long name": codec.encode(FollowRequest(follower("a" * 129), 0, EMPTY_DIGEST)),
    "a revision": codec.encode(FollowRequest(follower(), -1, EMPTY_DIGEST)),
    "a digest": codec.encode(FollowRequest(follower(), 0, b"short")),
    "a bomb": codec.encode(FollowRequest(follower(), 0, bytes(4_000_000))),
}


@pytest.mark.parametrize("kind", BAD_REQUESTS)
def test_a_request_that_no_gateway_sends_is_refused_and_changes_nothing(tmp_path, kind):
    async def test():
        async with cluster(tmp_path, 1) as servers:
            body = BAD_REQUESTS[kind]
            answer = await raw(servers, head(FOLLOW_PATH, len(body), "Connection: close\r\n") + body)
            assert answer.startswith(b"HTTP/1.1 400")
            assert not servers.services[0].roster.runs
            assert isinstance(await servers.publish(plans(0, "gold")), Published)

    run(test())


def test_bodies_that_are_too_long_or_never_end_are_cut_off(tmp_path, monkeypatch):
    monkeypatch.setattr(server, "READ_TIMEOUT_S", 0.2)

    async def test():
        async with cluster(tmp_path, 1) as servers:
            long = await raw(servers, head(FOLLOW_PATH, 10**9) + bytes(100_000))
            assert long.startswith(b"HTTP/1.1 413")
            unfinished = await raw(servers, head(PUBLISH_PATH, 1000, "Connection: close\r\n") + b"x" * 10)
            assert unfinished.startswith(b"HTTP/1.1 408")
            assert servers.services[0].http._requests == 0

    run(test())


def test_a_client_that_does_not_read_is_let_go(tmp_path, monkeypatch):
    monkeypatch.setattr(server, "WRITE_TIMEOUT_S", 0.2)

    async def test():
        async with cluster(tmp_path, 1) as servers:
            await servers.publish(document(55_000))
            body = codec.encode(ChunkRequest(1, tuple(range(100, 164))))
            request = head(CHUNK_PATH, len(body)) + body
            reader, writer = await raw(servers, request * 200, wait=False)
            metrics = servers.services[0]._metrics
            while b'refused_requests_total{reason="slow_reader"}' not in metrics():
                await asyncio.sleep(0.05)
            writer.close()
            assert isinstance(await servers.publish(plans(1, "lead")), Published)

    run(test())


def test_more_requests_or_polls_than_the_bound_are_refused(tmp_path):
    async def test():
        async with cluster(tmp_path, 1, bounds=Bounds(waiting=2, requests=3)) as servers:
            digest = (await servers.publish(plans(0, "gold"))).digest
            for number in range(4):
                await servers.follow(0, follower(f"g{number}"))
            polls = [
                asyncio.create_task(servers.follow(0, follower(f"g{n}"), 1, digest, 20_000)) for n in range(2)
            ]
            while servers.services[0].following.waiting < 2:
                await asyncio.sleep(0.01)
            assert isinstance(await servers.follow(0, follower("g2"), 1, digest, 20_000), Busy)
            await servers.publish(plans(1, "lead"))
            for poll in polls:
                assert isinstance(await poll, Changes)
            service = servers.services[0]
            service.http._requests = 3
            with pytest.raises(AssertionError, match="503"):
                await servers.follow(0, follower())
            service.http._requests = 0

    run(test())


def test_connections_beyond_the_bound_are_ended_at_once(tmp_path):
    async def test():
        async with cluster(tmp_path, 1, bounds=Bounds(connections=3)) as servers:
            held = [await raw(servers, b"", wait=False) for _ in range(3)]
            http = servers.services[0].http
            while len(http._runner.server.connections) < 3:
                await asyncio.sleep(0.01)
            with contextlib.suppress(ConnectionResetError):
                assert await raw(servers, head(FOLLOW_PATH, len(GOOD)) + GOOD) == b""
            held[0][1].close()
            while len(http._runner.server.connections) > 2:
                await asyncio.sleep(0.01)
            answer = await raw(servers, head(FOLLOW_PATH, len(GOOD), "Connection: close\r\n") + GOOD)
            assert answer.startswith(b"HTTP/1.1 200")
            for _, writer in held:
                writer.close()

    run(test())
