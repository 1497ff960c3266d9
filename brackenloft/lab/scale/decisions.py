"""Slopes of the decisions and of the list's reader by the number of servers. In-process, the real modules."""

from __future__ import annotations

import json
import random
from functools import partial
from typing import Any

from brackenloft import Effect, Outcome, Plan, Request, RequestClass, Send, Settings, Status
from brackenloft.interface import ServerList, ServerState
from brackenloft.lab.scale import samples
from brackenloft.lab.scale.measuring import exact, held_bytes, point, repeated_ms, slope, timed_ms
from brackenloft.lab.scale.slopes import Slope
from brackenloft.net.discovery import Roster
from brackenloft.policy import Gateway

SIZES = (10, 100, 1_000, 6_300)
CHANGED = (1, 10, 100, 900)  # servers in one change of a list of LIST
LIST = 6_300
REQUESTS = 300  # in a round
READ = RequestClass("read", 400.0, 800.0, Effect.SAFE)
PLAN = Plan("plan", rate=1e9, burst=1e9)


def settings(gateways: int = 570) -> Settings:
    """One of many gateways."""
    return Settings(gateways, 0, "a", (READ,), (PLAN,))


def listed(servers: int) -> Gateway:
    """A gateway's decisions that have the whole list."""
    gateway = Gateway(settings(), 1)
    gateway.handle(0.0, samples.full_list(servers))
    return gateway


def full_list_slopes() -> list[Slope]:
    """A whole list for a gateway that has none: how long the loop is held, what stays."""
    held, collected, kept = [], [], []
    for size in SIZES:
        news = samples.full_list(size)
        take = partial(_take, news)
        held.append(point(size, timed_ms(lambda: Gateway(settings(), 1), take)))
        collected.append(point(size, timed_ms(lambda: Gateway(settings(), 1), take, collects=True)))
        kept.append(exact(size, held_bytes(partial(listed, size)) - held_bytes(lambda: listed(1))))
    return [
        slope(
            "list_full_ms",
            "decisions take a whole list, in one go, without the collector's turns",
            "servers",
            "ms",
            held,
        ),
        slope(
            "list_full_collected_ms",
            "the same with the collector's turns, as at a start",
            "servers",
            "ms",
            collected,
        ),
        slope("list_state_bytes", "decisions keep a whole list", "servers", "bytes", kept),
    ]


def _take(news: ServerList, gateway: Gateway) -> None:
    gateway.handle(0.0, news)


def change_slopes() -> list[Slope]:
    """News of one server by the size of the list, and of many at once in the largest."""
    one = []
    for size in SIZES:
        one.append(point(size, timed_ms(partial(_flip, [0], 1), partial(listed(size).handle, 0.0))))
    many = []
    for changed in CHANGED:
        many.append(point(changed, timed_ms(partial(_flip, [0], changed), partial(listed(LIST).handle, 0.0))))
    return [
        slope("list_change_ms", "decisions take a change of one server", "servers in the list", "ms", one),
        slope(
            "list_changes_ms",
            f"decisions take one change of many servers of {LIST:,}",
            "servers in the change",
            "ms",
            many,
        ),
    ]


def _flip(turn: list[int], servers: int) -> Any:
    """The same servers drain, and are ready again the next time."""
    turn[0] += 1
    return samples.changed_list(1, servers, ServerState.DRAINING if turn[0] % 2 else ServerState.READY)


def request_slopes() -> list[Slope]:
    """A request from its arrival to the end of its one attempt, decisions alone."""
    points = []
    for size in SIZES:
        rounds = repeated_ms(partial(_requests, listed(size), random.Random(1), [0]))
        points.append(point(size, [each * 1000.0 / REQUESTS for each in rounds]))
    return [slope("request_us", "decisions of one request and its answer", "servers", "us", points)]


def _requests(gateway: Gateway, draw: random.Random, count: list[int]) -> None:
    for _ in range(REQUESTS):
        count[0] += 1
        now, name = count[0] * 1000.0 / 118.0, f"{count[0]:x}"
        request = Request(name, "read", "plan", f"{draw.randrange(55_000):016x}", 800.0, width=2)
        for action in gateway.handle(now, request):
            if isinstance(action, Send):
                gateway.handle(now, Outcome(name, 0, action.server, Status.OK, 5.0, True))


def _read(data: bytes, roster: Roster) -> None:
    roster.read(json.loads(data))


def read_slopes() -> list[Slope]:
    """The list as discovery writes it: bytes, and the time to read it (JSON, then the reader's check)."""
    size_bytes, read, change_bytes, change = [], [], [], []
    for size in SIZES:
        data = json.dumps(samples.list_document(size)).encode()
        size_bytes.append(exact(size, len(data)))
        read.append(point(size, timed_ms(Roster, partial(_read, data))))
        roster = Roster()
        roster.read(json.loads(data))
        news = json.dumps(samples.list_document(1, reset=False)).encode()
        change_bytes.append(exact(size, len(news)))
        change.append(point(size, repeated_ms(partial(_read, news, roster))))
    return [
        slope("list_json_bytes", "a whole list as JSON", "servers", "bytes", size_bytes),
        slope("list_read_ms", "a whole list read from JSON", "servers", "ms", read),
        slope(
            "list_change_bytes",
            "a change of one server as JSON",
            "servers in the list",
            "bytes",
            change_bytes,
        ),
        slope(
            "list_change_read_ms",
            "a change of one server read from JSON",
            "servers in the list",
            "ms",
            change,
        ),
    ]


def slopes() -> list[Slope]:
    """All of them."""
    return [*full_list_slopes(), *change_slopes(), *request_slopes(), *read_slopes()]
