"""``brackenloft SUBCOMMAND``: serve, control, check-config, demo, call, ops, config, fleet, lab, load."""

from __future__ import annotations

import argparse
import asyncio
import logging
import signal
import sys
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:  # the subcommands import what they need: a client needs no gateway
    from brackenloft.config import Config
    from brackenloft.configuration.client_config import ClientConfig
    from brackenloft.configuration.gateway import Configured
    from brackenloft.edge import Edge
    from brackenloft.fleet.config import Document as FleetFile
    from brackenloft.fleet.service import Fleet
    from brackenloft.graphql.config import Loaded as Front
    from brackenloft.graphql.daemon import Daemon
    from brackenloft.membership.config import Document as Sources
    from brackenloft.membership.config import Membership
    from brackenloft.quota.client import Counting, Where

log = logging.getLogger("brackenloft")

MOST_DEMO_S = 600.0
APART = {  # subcommands with a command line of their own: its module, and the extra that it wants
    "config": ("brackenloft.configuration.cli", "control"),
    "fleet": ("brackenloft.fleet.cli", "fleet"),
    "lab": ("brackenloft.lab.cli", "lab"),
    "load": ("brackenloft.load.cli", "load"),
}


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="brackenloft", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="SUBCOMMAND")
    serve = commands.add_parser("serve", help="run a gateway until SIGTERM")
    check = commands.add_parser("check-config", help="read a configuration and say whether it can be used")
    for part in (serve, check):
        part.add_argument("--config", required=True, type=Path, metavar="FILE", help="TOML, or *.json")
    control = commands.add_parser("control", help="run a control server until SIGTERM (extra [control])")
    control.add_argument("--config", required=True, type=Path, metavar="FILE", help="as deploy/control.toml")
    demo = commands.add_parser("demo", help="a gateway, discovery, board nodes and clients on loopback")
    demo.add_argument("--seconds", type=float, default=10.0)
    demo.add_argument("--seed", type=int, default=1)
    call = commands.add_parser("call", help="ask a gateway one thing: exits 0 served, 1 refused, 2 failed")
    call.add_argument("--at", default="127.0.0.1:6379", metavar="HOST:PORT")
    call.add_argument("--customer", required=True, help="a number, or 16 hex digits")
    call.add_argument("--plan", required=True)
    call.add_argument("--class", required=True, dest="kind")
    call.add_argument("--key", help="idempotency key")
    call.add_argument("--body", help="sends CALL.POST; without it CALL.GET")
    call.add_argument("--units", type=float, default=1.0)
    call.add_argument("--patience-ms", type=int, default=2000)
    call.add_argument("--spread", type=int, default=1)
    call.add_argument("--first", type=int, default=0)
    from brackenloft.ops import caller

    caller.add_to(
        commands.add_parser("ops", help="call a gateway's second address: exits 0 yes, 1 no, 2 no answer")
    )
    commands.add_parser(
        "config", help="the configuration of all gateways: brackenloft config --help (extra [control])"
    )
    commands.add_parser("fleet", help="tasks of all gateways: brackenloft fleet --help (extra [fleet])")
    commands.add_parser("lab", help="experiments in virtual time: brackenloft lab --help (extra [lab])")
    commands.add_parser("load", help="an open-loop load: brackenloft load --help (extra [load])")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run a subcommand; its exit code. A wrong configuration is one line and 2."""
    words = sys.argv[1:] if arguments is None else arguments
    if words and words[0] in APART:
        return _apart(words[0], words[1:])
    options = _parser().parse_args(words)
    run = {
        "serve": _serve,
        "control": _control,
        "check-config": _check,
        "demo": _demo,
        "call": _call,
        "ops": _ops,
    }
    return run[options.command](options)


def _apart(name: str, words: list[str]) -> int:
    """A subcommand with a command line and an extra of its own."""
    module, extra = APART[name]
    try:
        main: Callable[[list[str]], int] = import_module(module).main
    except ModuleNotFoundError as error:
        print(f"brackenloft: {name} wants the extra [{extra}]: {error.name} is missing", file=sys.stderr)
        return 2
    return main(words)


def _run(main: Coroutine[Any, Any, int]) -> int:
    import uvloop

    return uvloop.run(main)


# ---- serve, check-config


def _load(path: Path) -> Config | None:
    from brackenloft import config

    try:
        return config.load(path)
    except config.ConfigError as error:
        print(f"brackenloft: {error}", file=sys.stderr)
        return None


@dataclass(frozen=True)
class Parts:
    """What a configuration's further files switch on."""

    sources: Sources | None = None
    front: Front | None = None
    counter: Where | None = None
    fleet: FleetFile | None = None
    control: ClientConfig | None = None


def _parts(loaded: Config) -> Parts | None:
    """The files that a configuration names beside itself; None if one of them can't be used."""
    from brackenloft import config

    extra, sources, front, counter, fleet, control = "", None, None, None, None, None
    try:
        if loaded.membership:
            extra = "membership wants the extra [eureka]"
            from brackenloft.membership import config as membership

            sources = membership.load(loaded.membership)
        if loaded.graphql:
            extra = "graphql wants the extra [graphql]"
            from brackenloft.graphql import config as graphql

            front = graphql.read(loaded.graphql, loaded.settings)
        if loaded.counter:
            extra = "counter wants the extra [counter]"
            from brackenloft.quota.client import Where

            counter = config.read_file(Where, loaded.counter)
        if loaded.fleet:
            extra = "fleet wants the extra [fleet]"
            from brackenloft.fleet import config as fleets
            from brackenloft.fleet import service  # noqa: F401  so that what is missing is told now

            fleet = fleets.load(loaded.fleet, counts=counter is not None)
        if loaded.control:
            extra = "control wants the extra [control]"
            from brackenloft.configuration import client, client_config  # noqa: F401  as above

            control = client_config.load(loaded.control)
        return Parts(sources, front, counter, fleet, control)
    except config.ConfigError as error:
        print(f"brackenloft: {error}", file=sys.stderr)
    except ModuleNotFoundError as error:
        print(f"brackenloft: {extra}: {error.name} is missing", file=sys.stderr)
    return None


def _check(options: argparse.Namespace) -> int:
    loaded = _load(options.config)
    if loaded is None:
        return 2
    parts = _parts(loaded)
    if parts is None:
        return 2
    source = "discovery" if loaded.discovery else f"{len(loaded.nodes)} nodes"
    if parts.sources:
        from brackenloft.membership.config import in_order

        source = ", then ".join(table.name for table in in_order(parts.sources))
    settings = loaded.settings
    front = f", GraphQL at {parts.front.document.listen}" if parts.front else ""
    front += f", counter {parts.counter.shown()}" if parts.counter else ""
    front += f", fleet of {len(parts.fleet.stores)} stores" if parts.fleet else ""
    front += f", configuration of {len(parts.control.servers)} control servers" if parts.control else ""
    print(
        f"{options.config}: good; {len(settings.plans)} plans, {len(settings.classes)} classes, "
        f"servers from {source}{front}"
    )
    return 0


def _serve(options: argparse.Namespace) -> int:
    from brackenloft.__main__ import Ration

    loaded = _load(options.config)
    if loaded is None:
        return 2
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(Ration())
    try:
        parts = _parts(loaded)
        return 2 if parts is None else _run(_serve_until_told(loaded, options.config, parts))
    except OSError as error:
        print(f"brackenloft: listen: {error}", file=sys.stderr)
        return 2


def _control(options: argparse.Namespace) -> int:
    try:
        from brackenloft.configuration import service
    except ModuleNotFoundError as error:
        print(f"brackenloft: control wants the extra [control]: {error.name} is missing", file=sys.stderr)
        return 2
    return service.main(options.config)


async def _serve_until_told(config: Config, path: Path, parts: Parts) -> int:
    """Until SIGTERM or SIGINT. SIGHUP reads the file's servers again; what else changed is not taken over."""
    from brackenloft.edge import Edge
    from brackenloft.net.loop_errors import LoopErrors

    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    errors = LoopErrors(loop)

    def servers(now: Config) -> None:
        if now.discovery:
            edge.watch(now.discovery)
        elif now.nodes:
            edge.use(now.nodes)

    def reload() -> None:
        now = _load(path)
        if now and (now.membership or config.membership):
            log.warning("sources of servers are read at the start alone")
        elif now:
            log.info("the servers were read again")
            servers(now)

    async with Edge(config.settings, config.room, config.seed) as edge:
        figures: dict[str, Callable[[], object]] = {}
        if config.admin:
            from brackenloft.ops.station import Station

            figures = Station(edge, config.admin).more
            figures["loop_errors"] = lambda: errors.count
        host, port = edge.listen(*config.listen)
        servers(config)
        membership = _follow(parts.sources, edge, (host, port), figures)
        front = _open_front(parts.front, edge, figures)
        counting = _count(parts.counter, edge, figures)
        fleet = _join(parts, edge, figures)
        configured = _configure(parts.control, edge, figures)
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, reload)
        log.info("listening on %s:%d", host, port)
        await stop.wait()
        log.info("stopping")
        longest_s = max(item.deadline_ms for item in config.settings.classes) / 1000.0
        leaving = _leave(edge, longest_s, membership, front)
        await asyncio.gather(leaving, *([fleet.close()] if fleet else []))
        if counting:
            await counting.close()
        if configured:
            await configured.close()
    return 0


def _follow(
    sources: Sources | None,
    edge: Edge,
    listens: tuple[str, int],
    figures: dict[str, Callable[[], object]],
) -> Membership | None:
    """Follow the sources of a file, if there is one."""
    if sources is None:
        return None
    from brackenloft.membership.config import run

    membership = run(sources, edge, listens)
    figures["membership"] = membership.members.figures
    return membership


def _count(
    where: Where | None,
    edge: Edge,
    figures: dict[str, Callable[[], object]],
) -> Counting | None:
    """Sum quotas with others through a counter, if a file names one."""
    if where is None:
        return None
    from brackenloft.quota.client import follow

    counting = follow(edge, where)
    figures["counter"] = counting.figures
    return counting


def _join(parts: Parts, edge: Edge, figures: dict[str, Callable[[], object]]) -> Fleet | None:
    """Take part in the fleet's tasks, if a file names its stores."""
    if parts.fleet is None:
        return None
    from brackenloft.fleet.service import Fleet

    fleet = Fleet(edge, parts.fleet, parts.counter).start()
    figures["fleet"] = fleet.figures
    return fleet


def _configure(
    control: ClientConfig | None,
    edge: Edge,
    figures: dict[str, Callable[[], object]],
) -> Configured | None:
    """Follow the configuration of control servers, if a file names them."""
    if control is None:
        return None
    from brackenloft.configuration import gateway

    return gateway.follow(edge, control, figures)


def _open_front(
    loaded: Front | None,
    edge: Edge,
    figures: dict[str, Callable[[], object]],
) -> Daemon | None:
    """Take GraphQL too, if a file says so."""
    if loaded is None:
        return None
    from brackenloft.graphql.daemon import Daemon

    daemon = Daemon(loaded, edge)
    figures["graphql"] = daemon.front.figures
    log.info("GraphQL on %s:%d", *daemon.address)
    return daemon


async def _leave(
    edge: Edge,
    within_s: float,
    membership: Membership | None,
    front: Daemon | None,
) -> None:
    """Answer all that was taken. Sources are followed to the end: servers may drain meanwhile."""
    if membership:
        await membership.withdraw()
    closing = [edge.close(within_s), *([front.close(within_s)] if front else [])]
    await asyncio.gather(*closing)
    if membership:
        await membership.close()


# ---- demo, call, ops


def _ops(options: argparse.Namespace) -> int:
    from brackenloft.ops import caller

    return caller.run(options)


def _demo(options: argparse.Namespace) -> int:
    from brackenloft.standins import demo

    logging.basicConfig(level=logging.ERROR)
    if not 0.0 < options.seconds <= MOST_DEMO_S:
        print(f"brackenloft: --seconds: not above 0 and at most {MOST_DEMO_S:g}", file=sys.stderr)
        return 2

    async def run() -> int:
        tally = await demo.run(options.seconds, lambda line: print(line, flush=True), options.seed)
        whole = tally.asked == sum(tally.answers.values()) and not tally.answers["missing"]
        return 0 if whole and tally.answers["served"] else 1

    return _run(run())


def _call(options: argparse.Namespace) -> int:
    from brackenloft import client_command

    return client_command.run(options)


if __name__ == "__main__":
    sys.exit(main())
