"""``brackenloft control``: one control server, from its disk and the register to its HTTP side."""

from __future__ import annotations

import asyncio
import logging
import random
import resource
import signal
import sys
import time
from collections.abc import Callable
from math import inf
from pathlib import Path

from brackenloft.config import ConfigError
from brackenloft.configuration import messages, server_config
from brackenloft.configuration.catching_up import CatchingUp
from brackenloft.configuration.enrolment import Enrolment
from brackenloft.configuration.figures import Figures
from brackenloft.configuration.following_service import FollowingService, check_follower
from brackenloft.configuration.messages import (
    LONGEST_REQUEST_BYTES,
    ChunkRequest,
    Enrolled,
    EnrolRequest,
    Follower,
    FollowRequest,
    Leave,
    Proposal,
    PublishRequest,
    RecordsRequest,
    ServerStatus,
    StandingNotice,
    Stored,
)
from brackenloft.configuration.peers import Peers
from brackenloft.configuration.proposals import Proposals
from brackenloft.configuration.publisher import Publisher
from brackenloft.configuration.replica import Replica
from brackenloft.configuration.roster import Roster, RosterFullError
from brackenloft.configuration.server import HttpServer
from brackenloft.configuration.server_config import ServerConfig
from brackenloft.configuration.standing_reader import StandingReader
from brackenloft.configuration.standing_register import FleetRegister, StandingRegister
from brackenloft.configuration.storage import Started, Storage
from brackenloft.fleet.logs import as_json, logger

log = logger(__name__)
LONGEST_ENROL_REQUEST_BYTES = 1024 * 1024  # ``enrolment.MOST_TOLD`` runs with the longest names
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
HOUSEKEEPING_S = 60.0  # between two looks for runs that have been gone for long
RECORDS_READ_WITHIN_S = 1.0  # for a peer that knows of a later revision than is known here
OTHER_DESCRIPTORS = 512  # of peers, stores and files
WRONG = 2  # exit code for a wrong file or address


def monotonic_ms() -> float:
    """The clock of all ages and waits here."""
    return time.monotonic() * 1000.0


class ControlService:
    """A control server within a running loop. ``register``: in place of the stores that the file names."""

    def __init__(
        self,
        config: ServerConfig,
        register: StandingRegister | None = None,
        clock_ms: Callable[[], float] = monotonic_ms,
        seed: int | None = None,
    ) -> None:
        self.config, self.clock_ms = config, clock_ms
        self.register = register or FleetRegister(config)
        self.figures = Figures()
        self.http = HttpServer(self.figures, config.bounds.requests, config.bounds.connections)
        self._dice = random.Random(seed)
        self._recovery: asyncio.Task[None] | None = None
        self._housekeeping: asyncio.Task[None] | None = None
        self.complete = False  # whether all runs that were told here are known

    async def start(self) -> None:
        """Read the disk, then listen; OSError if either can't be done."""
        config = self.config
        self.storage = Storage(Path(config.data))
        started = await self.storage.load()
        self._tell_damage(started)
        recovered = started.recovered
        self.replica = Replica(recovered.tree, recovered.log, started.proposals, config.bounds.records)
        whole = self._load_roster(started)
        self.peers = Peers(config.peers, config.region)
        catching_up = CatchingUp(self.replica, self.storage, self.peers)
        self.reader = StandingReader(
            self.register, catching_up, self.replica, config.poll_ms / 1000.0, self.clock_ms
        )
        copies = config.copies_needed
        self.enrolment = Enrolment(self.roster, self.storage, self.peers, copies, self.clock_ms)
        self.publisher = Publisher(
            self.replica, self.storage, self.peers, self.reader, self.register, catching_up,
            copies, config.bounds.publish_ms / 1000.0, self.clock_ms,
        )  # fmt: skip
        self.proposals = Proposals(self.replica, self.storage, self.reader, self.clock_ms)
        self.following = FollowingService(
            self.replica, self.enrolment, self.reader, config.bounds, self.figures,
            self.clock_ms, self._dice,
        )  # fmt: skip
        self._route()
        self.reader.start()
        self._housekeeping = asyncio.create_task(self._forget_gone_runs())
        self.complete = started.runs_complete and whole
        if not self.complete:
            self._recovery = asyncio.create_task(self._recover_roster())
        await self.http.start(config.address)
        host, port = self.http.address
        log.info(
            "control server", name=config.name, region=config.region, host=host, port=port,
            revision=self.replica.standing.revision, runs=len(self.roster.runs),
            roster_complete=self.complete,
        )  # fmt: skip

    def _load_roster(self, started: Started) -> bool:
        """Know the runs of the disk; False if there are too many."""
        self.roster = Roster()
        try:
            for entry in started.runs:
                self.roster.confirm(entry.follower, entry.in_force, self.clock_ms())
                if entry.left:
                    self.roster.leave(entry.follower, self.clock_ms())
        except RosterFullError as error:
            log.error("not all runs of the disk can be known", error=error)
            return False
        return True

    def _tell_damage(self, started: Started) -> None:
        self.figures.damaged_files.set(len(started.recovered.damaged))
        for damaged in started.recovered.damaged:
            log.error("a damaged file is not used", file=damaged.file, reason=damaged.reason)

    async def _recover_roster(self) -> None:
        log.warning("the disk does not hold all runs of gateways: the peers are asked")
        await self.enrolment.recover(self.config.servers)
        self.complete = True

    async def _forget_gone_runs(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            try:
                await self.enrolment.forget_gone()
            except OSError as error:
                log.error("the roster can't be stored", error=error)

    async def close(self) -> None:
        """Answer those that wait, and end."""
        self.replica.close()
        await self.http.close()
        tasks = [task for task in (self._recovery, self._housekeeping) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.publisher.close()
        await self.reader.close()
        await self.enrolment.close()
        await self.storage.close()
        await self.peers.close()
        await self.register.close()
        log.info("control server ended", name=self.config.name)

    # ---- Requests

    def _route(self) -> None:
        http, following = self.http, self.following
        http.post(messages.FOLLOW_PATH, FollowRequest, following.follow)
        http.post(messages.CHUNK_PATH, ChunkRequest, following.chunk)
        http.post(messages.LEAVE_PATH, Leave, self._leave)
        http.post(messages.PUBLISH_PATH, PublishRequest, self._publish, LONGEST_REQUEST_BYTES)
        http.post(messages.PROPOSE_PATH, Proposal, self._propose, LONGEST_REQUEST_BYTES)
        http.post(messages.STANDING_PATH, StandingNotice, self._notice)
        http.post(messages.RECORDS_PATH, RecordsRequest, self._records)
        http.post(messages.ENROL_PATH, EnrolRequest, self._enrol, LONGEST_ENROL_REQUEST_BYTES)
        http.status(messages.STATUS_PATH, self.status)
        http.text(METRICS_PATH, self._metrics, METRICS_TYPE)

    async def _leave(self, message: Leave) -> None:
        await self.following.leave(message.follower)

    async def _publish(self, request: PublishRequest) -> messages.PublishAnswer:
        answer = await self.publisher.publish(request)
        outcome = type(answer).__name__.lower()
        self.figures.publishes.labels(outcome).inc()
        log.info(
            "publish", outcome=outcome, base=request.delta.base, author=request.author,
            reason=getattr(answer, "reason", ""),
        )  # fmt: skip
        return answer

    async def _propose(self, proposal: Proposal) -> messages.ProposalAnswer:
        answer = await self.proposals.take(proposal.record)
        self.figures.proposals.labels(type(answer).__name__.lower()).inc()
        return answer

    async def _notice(self, notice: StandingNotice) -> Stored:
        if notice.standing.revision > self.replica.standing.revision:
            self.reader.hint()
        return Stored()

    async def _records(self, request: RecordsRequest) -> messages.FollowAnswer:
        known = request.standing
        if known and known.revision > self.replica.standing.revision:
            await self.reader.read_since(self.clock_ms(), RECORDS_READ_WITHIN_S)
        follower = Follower("", "", 0, "")
        asked = FollowRequest(follower, request.after, request.digest)
        return self.replica.answer(asked, self.clock_ms())

    async def _enrol(self, request: EnrolRequest) -> Enrolled:
        for follower in (*request.followers, *request.left):
            check_follower(follower)
        await self.enrolment.take(request)
        return Enrolled(self.config.name)

    def status(self) -> ServerStatus:
        """What this server knows."""
        now_ms = self.clock_ms()
        return ServerStatus(
            self.config.name, self.config.region, self.replica.standing.revision,
            self.replica.verified_ms_ago(now_ms), self.roster.confirmations(now_ms), self.complete,
            self.config.servers,
        )  # fmt: skip

    def _metrics(self) -> bytes:
        figures, verified_ms = self.figures, self.replica.verified_ms_ago(self.clock_ms())
        figures.standing.set(self.replica.standing.revision)
        figures.verified.set(verified_ms / 1000.0 if verified_ms < inf else inf)
        figures.waiting.set(self.following.waiting)
        figures.runs.set(len(self.roster.runs))
        figures.complete.set(self.complete)
        figures.proposals_held.set(len(self.replica.proposals))
        figures.records.set(len(self.replica.log))
        figures.read_failures.set(self.reader.failures)
        figures.enrol_failures.set(self.enrolment.failures)
        figures.disk_failures.set(self.storage.failures)
        return figures.text()


# ---- The process


async def serve_until_told(config: ServerConfig) -> None:
    """Until SIGTERM or SIGINT."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    service = ControlService(config)
    await service.start()
    await stop.wait()
    await service.close()


def raise_descriptor_limit(wanted: int) -> None:
    """Have as many descriptors as are wanted, as far as the system allows; it is told if they are fewer."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return
    allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, allowed), hard))
    if allowed < wanted:
        log.warning("fewer descriptors than connections may take", allowed=allowed, wanted=wanted)


def main(path: Path) -> int:
    """Run a control server by its file; the exit code."""
    import uvloop

    try:
        config = server_config.load(path)
    except ConfigError as error:
        print(f"brackenloft: {error}", file=sys.stderr)
        return WRONG
    logging.basicConfig(stream=sys.stderr, level=logging.INFO)
    as_json()
    raise_descriptor_limit(config.bounds.connections + OTHER_DESCRIPTORS)
    try:
        uvloop.run(serve_until_told(config))
    except OSError as error:
        print(f"brackenloft control: {error}", file=sys.stderr)
        return WRONG
    return 0
