"""A large fleet: forty gateways over sixty nodes through three bad events, beside the rules as they stood.

python -m benchmarks.fleet            one seed of each experiment; the last line is JSON
python -m benchmarks.fleet --long     five seeds

As they stood: the even part alone under late readings, six out at a node at first, a pool that no slow
attempt cuts, no free attempt after a failed connect, cold nodes at 0.825 of their even share times warmth.
The doubt after a single slow attempt is not taken back here. Connects and lists are not modelled: the
user's bench shows them.
"""

from __future__ import annotations

import argparse
import contextlib
import json
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest import mock

from brackenloft import Gateway, Outcome, Status
from brackenloft.lab import nodes, spec
from brackenloft.lab.world import World
from brackenloft.policy import attempts, meter, servers

EVENTS = ("fleet_herd", "fleet_zone", "fleet_join")
OLD_COLD = 0.33  # of the tipping budget that a full fleet's even share could use
SHOWN = ("service", "net", "served_share", "refused_with_room", "beyond_quota", "cold", "errors")
MEANS = SHOWN[:5]

_again = Gateway._again


def _old_shares(self: servers.Fleet) -> None:
    self.cold = [server for server in self.ready if self.warmth(server) < 1.0]
    most = min(1.0, OLD_COLD * self.settings.contract.tip_multiple)
    for server in self.ready:
        server.share = 1.0
    for server in self.cold:
        server.share = most * self.warmth(server) / len(self.ready)
    self.shared_at = self.now


def _old_turn(self: servers.Fleet, flight: attempts.Flight, server: servers.Server) -> bool:
    spread = server.id * 0.6180339887498949  # each server's turns begin elsewhere
    return server.share >= 1.0 or (flight.turn + spread) % 1.0 < server.share


def _old_again(
    self: Gateway, flight: attempts.Flight, status: Status, attempt: tuple[servers.Server, float],
) -> None:
    if status is Status.CONNECT_FAILED:
        self.retries -= 1.0  # takes back what is given there
    _again(self, flight, status, attempt)


@contextlib.contextmanager
def as_it_stood() -> Iterator[None]:
    """The rules before the large fleet, within this block."""
    with contextlib.ExitStack() as stack:
        for place, name, value in (
            (meter, "FEW", 0.0), (servers, "FIRST_LIMIT", 6.0), (servers, "COLD_PULL", 1.0),
            (servers.Fleet, "cut", lambda self: None), (servers.Fleet, "_share_out", _old_shares),
            (servers.Fleet, "_cold_turn", _old_turn), (Gateway, "_again", _old_again),
        ):
            stack.enter_context(mock.patch.object(place, name, value))
        yield


def play(name: str, seed: int) -> dict[str, float]:
    """One run: its figures, failed answers, and the most that a cold node was sent of its tipping budget."""
    count: Counter[str] = Counter()
    worst = [0.0]

    class Counted(Gateway):
        def handle(self, now_ms: float, event: Any) -> list[Any]:
            if isinstance(event, Outcome):
                count[event.status.value] += 1
            return super().handle(now_ms, event)

    def counted(self: nodes.Node, work_ms: float) -> None:
        counting(self, work_ms)
        if self.warmth(self.now()) < 1.0:
            could = self.warmth(self.now()) * self.spec.places * self.speed * self.spec.tip_window_ms
            worst[0] = max(worst[0], self.recent_work / (self.spec.tip_multiple * could))

    counting = nodes.Node._count
    with mock.patch.object(nodes.Node, "_count", counted):
        world = World(spec.load(Path(name))[0], Counted, seed).run()
    figures = world.oracle.figures()
    return {key: figures[key] for key in MEANS} | {
        "rules": float(sum(world.oracle.rules.values())), "cold": worst[0], "errors": float(count["error"]),
        "attempts": float(sum(count.values())),
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--long", action="store_true")
    seeds = range(1, 6 if parser.parse_args().long else 2)
    rows: dict[bool, list[dict[str, float]]] = {True: [], False: []}
    print(f"{'':12}{'':9}" + "".join(f"{key:>19}" for key in SHOWN))
    for name in EVENTS:
        for ours in (False, True):
            with contextlib.nullcontext() if ours else as_it_stood():
                played = [play(name, seed) for seed in seeds]
            rows[ours] += played
            mean = {key: sum(row[key] for row in played) / len(played) for key in played[0]}
            print(f"{name:12}{'ours' if ours else 'as stood':9}"
                  + "".join(f"{mean[key]:19.3f}" for key in SHOWN))

    def ratio(key: str) -> float:
        return round(sum(row[key] for row in rows[True]) / max(1e-9, sum(row[key] for row in rows[False])), 3)

    print(json.dumps({
        "served_ratio": ratio("served_share"), "net_ratio": ratio("net"),
        "cold_overload_max": round(max(row["cold"] for row in rows[True]), 3),
        "bad_server_attempts_ratio": round(ratio("errors") / ratio("attempts"), 3),
        "rules_broken": int(sum(row["rules"] for row in rows[True])),
    }))


if __name__ == "__main__":
    main()
