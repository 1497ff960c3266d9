"""One real gateway: reads its environment and configuration, runs until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import sys
from collections import defaultdict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvloop

from brackenloft import interface as api
from brackenloft.admission.memory import MemoryPlan, plan_memory
from brackenloft.edge.calls import Room
from brackenloft.edge.edge import Edge
from brackenloft.net.address import Address
from brackenloft.net.loop_errors import LoopErrors
from brackenloft.net.process_memory import release_file_pages, resident_bytes, return_freed_memory
from brackenloft.net.resp import LONGEST_VALUE
from brackenloft.settings import settings_from

if TYPE_CHECKING:
    from brackenloft.handover.channel import Succession

log = logging.getLogger("brackenloft")

OTHER_DESCRIPTORS = 32  # beside clients and servers: the log, the loop, discovery, the listener, a margin
SERVERS_SHARE = 0.125  # of the rest, kept for each side: 26 to servers were seen of 384 descriptors
CLIENTS_SHARE = 0.5  # what is between them is lent. Clients hold a third of all for requests, as many again
# have asked once and may not be closed for 2 s, and some say nothing
ASKING = 3  # clients hold a third of the descriptors for requests at most: theirs run out before ours
MEGABYTE = 1 << 20
PROGRAM = 26 * MEGABYTE  # the program itself, where the system does not tell
GROWTH = 4 * MEGABYTE  # of the program once it serves: a list of servers, pages that are read again
CUSTOMER = 600  # bytes that one takes, 570 seen; they have what clients and servers leave of the rest
LEAST_CUSTOMERS = 2000  # some seconds' worth at 500 requests a second, each by another
LOG_SPAN_S, LOG_LINES = 10.0, 50  # so many lines of a logger in so long
ACCEPT_S = 0.45  # after SIGTERM: new connections go on coming for 0.4 s
KILL_S = (3.0, 0.7)  # after SIGTERM comes SIGKILL: the longest deadline, this at most, and so much more
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
OPERATORS = 24  # descriptors that the second address has for itself: its callers, its listener, some to spare
CANT_START = 2  # the exit code for what the environment or the configuration names and can't be had
SPARE_S = 0.7  # of that time, for a loop that a crowd keeps busy, the last answers and the end of the process


@dataclass(slots=True)
class RationSpan:
    """What one logger has written in the current span."""

    until: float = -inf
    passed: int = 0
    left_out: int = 0


class Ration(logging.Filter):
    """Lets so many lines of each logger through in a span, and says how many it left out.

    What is done against a request that was taken is written in any case: ``unrationed`` of the record.

    Guards against a peer that fills the log, which counts as memory where it is a file: a line for each
    thing that can't be read, at full speed; and against lines on servers that leave none for clients.
    """

    def __init__(self) -> None:
        super().__init__()
        self.spans: dict[str, RationSpan] = defaultdict(RationSpan)  # by logger, of which there are few
        self.left_out_in_all = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written."""
        if getattr(record, "unrationed", False):
            return True
        span = self.spans[record.name]
        if record.created >= span.until:
            if span.left_out:
                record.msg, record.args = f"{record.getMessage()} ({span.left_out} lines left out before)", ()
            span.until, span.passed, span.left_out = record.created + LOG_SPAN_S, 0, 0
        span.passed += 1
        if span.passed > LOG_LINES:
            span.left_out += 1
            self.left_out_in_all += 1
        return span.passed <= LOG_LINES


RATION = Ration()  # of the log of this process


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


@dataclass(frozen=True)
class Config:
    """What the gateway is told at its start."""

    path: Path
    listen: Address
    discovery: Address
    seed: int
    descriptors: int
    memory: int  # bytes
    known: Any
    settings: api.Settings
    admin: Address | None = None  # the second address, for operators
    accept: int | None = None  # a descriptor of a socket that listens already, in place of our own
    shared: Path | None = None  # a directory that a successor of this process finds it by

    @staticmethod
    def load(environment: dict[str, str]) -> Config:
        """From EDGE_CONFIG; EDGE_LISTEN and EDGE_DISCOVERY, where set, say the same or come first."""
        path = Path(environment["EDGE_CONFIG"])
        document = json.loads(path.read_text())
        admin = environment.get("EDGE_ADMIN") or document.get("admin")
        accept = environment.get("EDGE_ACCEPT_FD")
        return Config(
            path=path,
            listen=_address(environment.get("EDGE_LISTEN") or document["listen"]),
            discovery=_address(environment.get("EDGE_DISCOVERY") or document["discovery"]),
            seed=int(document["seed"], 16),
            descriptors=int(document["limits"]["sockets"]),
            memory=int(document["limits"]["memory_mb"]) * MEGABYTE,
            known=document["known"],
            settings=settings_from(document["settings"]),
            admin=_address(admin) if admin else None,
            accept=int(accept) if accept else None,
            shared=Path(environment["TMPDIR"]) if accept and environment.get("TMPDIR") else None,
        )


def _reload(path: Path, edge: Edge) -> None:
    """SIGHUP: watch discovery where the configuration's file names it now, which outranks the environment.

    Guards against a file that is missing, half-written or malformed: it is logged, and what is stays.
    """
    try:
        address = _address(json.loads(path.read_text())["discovery"])
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        log.error("the configuration was not read again: %r", error)
        return
    log.info("discovery is at %s:%d now", *address)
    edge.watch(address)


def _peer_descriptors(config: Config) -> int:
    """Descriptors for clients and servers."""
    return max(2, config.descriptors - OTHER_DESCRIPTORS - (OPERATORS if config.admin else 0))


def _memory_plan(config: Config) -> MemoryPlan:
    """What the memory beside the program is divided into.

    A successor runs beside this process for a while, and they count together.
    """
    program = resident_bytes(PROGRAM) + GROWTH
    free = config.memory - program if config.accept is None else config.memory // 2 - program
    return plan_memory(free, _peer_descriptors(config), LONGEST_VALUE)


def _settings(config: Config, plan: MemoryPlan) -> api.Settings:
    """With as many customers known at once as the memory holds.

    Guards against customers without number, each of whom stays known until its bucket has drained.
    """
    rows = max(LEAST_CUSTOMERS, plan.customers // CUSTOMER)
    return replace(config.settings, limits=replace(config.settings.limits, max_customers=rows))


def _room(config: Config, plan: MemoryPlan) -> Room:
    """What the platform's limits leave for clients and servers."""
    budget = max(2, plan.connections)
    spare = max(0, _peer_descriptors(config) - budget)
    for_servers, for_clients = max(1, int(budget * SERVERS_SHARE)), max(1, int(budget * CLIENTS_SHARE))
    return Room(
        server_connections=for_servers,
        client_connections=for_clients,
        lent=budget - for_servers - for_clients,
        held=plan.buffered,
        asking=max(1, config.descriptors // ASKING),
        socket_buffer=plan.socket_buffer,
        memory=plan.peers,
        spare_descriptors=spare,
    )


def _span_s(settings: api.Settings) -> float:
    """How long leaving may take: SIGKILL comes after that."""
    longest_s = max(item.deadline_ms for item in settings.classes) / 1000.0
    return min(KILL_S[0], longest_s) + KILL_S[1] - SPARE_S


def _open(config: Config, edge: Edge, errors: LoopErrors) -> tuple[Callable[[], None], Succession | None]:
    """Open the addresses that the configuration names; what closes the second one, and the succession.

    What it does not name is not imported either.
    """
    shut: Callable[[], None] = lambda: None  # noqa: E731
    if config.admin:
        from brackenloft.ops.station import Station

        try:
            station = Station(edge, config.admin)
            station.more["log_lines_left_out"] = lambda: RATION.left_out_in_all
            station.more["loop_errors"] = lambda: errors.count
            shut = station.close
        except OSError as error:
            raise SystemExit(f"the second address {config.admin[0]}:{config.admin[1]}: {error}") from error
    if config.shared:
        from brackenloft.handover.channel import Succession

        edge.expects = True
        return shut, Succession(edge, config.shared, f"{config.listen[0]}:{config.listen[1]}")
    _accept(config, edge)
    return shut, None


def _accept(config: Config, edge: Edge) -> None:
    """Take clients from now on, from a listener of our own or one that was inherited."""
    try:
        if config.accept is None:
            edge.listen(*config.listen)
        else:
            edge.inherit(config.accept)
    except OSError as error:
        where = f"{config.listen[0]}:{config.listen[1]}" if config.accept is None else "EDGE_ACCEPT_FD"
        raise SystemExit(f"can't accept clients at {where}: {error}") from error


async def _unless(stop: asyncio.Event, beginning: Coroutine[Any, Any, None]) -> None:
    """Wait for what begins, or until ``stop`` is set: then it is cancelled.

    Guards against a SIGTERM that waits for the first list and for each step of a handover, when SIGKILL is on
    its way, and against a process that takes over only to leave.
    """
    begins, stops = asyncio.ensure_future(beginning), asyncio.ensure_future(stop.wait())
    await asyncio.wait((begins, stops), return_when=asyncio.FIRST_COMPLETED)
    stops.cancel()
    if begins.done():
        begins.result()
        return
    begins.cancel()
    await asyncio.wait((begins,))


async def serve(config: Config) -> None:
    """Serve until SIGTERM, then see to what was taken and return."""
    loop = asyncio.get_running_loop()
    errors = LoopErrors(loop)
    stop, again = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, again.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    plan = _memory_plan(config)
    log.info("memory: %s", plan)
    edge = Edge(_settings(config, plan), _room(config, plan), config.seed).open()
    shut, succession = _open(config, edge, errors)
    edge.known(config.known)
    edge.watch(config.discovery)
    if succession:
        await _unless(stop, succession.begin(lambda: _accept(config, edge)))

    async def reload() -> None:
        while True:
            await again.wait()
            again.clear()
            _reload(config.path, edge)

    reloading = loop.create_task(reload())
    if not stop.is_set():
        log.info("listening")
    await stop.wait()
    log.info("stopping")
    await edge.close(_span_s(config.settings), ACCEPT_S)
    shut()
    if succession:
        await succession.close()
    reloading.cancel()


def main() -> int:
    """Run the gateway; 0 after SIGTERM.

    Signals wait until there are handlers. Guards against one that comes while the gateway starts, whose
    default would end it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(RATION)
    try:
        config = Config.load(dict(os.environ))
        gc.freeze()
        return_freed_memory()
        release_file_pages()
        uvloop.run(serve(config))
    except SystemExit as error:
        log.error("not started: %s", error)
        return CANT_START
    return 0


if __name__ == "__main__":
    sys.exit(main())
