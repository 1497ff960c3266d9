"""Carries out the actions of ``publishing``: one publish at a time, within a bound of time."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable, Coroutine
from typing import Any

from brackenloft.configuration import codec
from brackenloft.configuration import publishing as steps
from brackenloft.configuration.builder import apply
from brackenloft.configuration.catching_up import CatchingUp
from brackenloft.configuration.disk import TooManyProposals
from brackenloft.configuration.messages import (
    PROPOSE_PATH,
    STANDING_PATH,
    Proposal,
    ProposalAnswer,
    PublishAnswer,
    PublishRequest,
    StandingNotice,
    Stored,
    Unavailable,
)
from brackenloft.configuration.model import Record, Standing
from brackenloft.configuration.peers import PeerError, Peers
from brackenloft.configuration.publishing import Publishing
from brackenloft.configuration.replica import Replica
from brackenloft.configuration.standing_reader import StandingReader
from brackenloft.configuration.standing_register import StandingRegister
from brackenloft.configuration.storage import Storage
from brackenloft.configuration.tree import Tree
from brackenloft.configuration.validation import faults
from brackenloft.fleet.logs import logger

log = logger(__name__)

MOST_WAITING = 64  # publishes at one server, of which one is under way
READ_WITHIN_S = 2.0
PROPOSE_TIMEOUT_S = 5.0  # a change may touch all tenants, and each peer builds the document
NOTICE_TIMEOUT_S = 1.0


class Publisher:
    """Publishes at this server, as coordinator."""

    def __init__(
        self,
        replica: Replica,
        storage: Storage,
        peers: Peers,
        reader: StandingReader,
        register: StandingRegister,
        catching_up: CatchingUp,
        copies: int,
        publish_s: float,
        clock_ms: Callable[[], float],
    ) -> None:
        self.replica, self.storage, self.peers = replica, storage, peers
        self.reader, self.register, self.catching_up = reader, register, catching_up
        self.copies, self._publish_s, self.clock_ms = copies, publish_s, clock_ms
        self._turn = asyncio.Lock()
        self._waiting = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def publish(self, request: PublishRequest) -> PublishAnswer:
        """Have a change stand, or say why not."""
        if self._waiting >= MOST_WAITING:
            return Unavailable(f"{MOST_WAITING} publishes wait here already", may_stand=False)
        self._waiting += 1
        end_s = asyncio.get_running_loop().time() + self._publish_s
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(end_s):
                    await self._turn.acquire()
                try:
                    return await _Attempt(self, request).run(end_s)
                finally:
                    self._turn.release()
            return Unavailable("no time left while other publishes were under way", may_stand=False)
        finally:
            self._waiting -= 1

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Carry on with something beside, to its end."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Give up what is under way."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class _Attempt:
    """One publish: actions become calls, and what comes of them becomes events."""

    def __init__(self, publisher: Publisher, request: PublishRequest) -> None:
        self._publisher = publisher
        self._machine = Publishing(request, tuple(publisher.peers.by_name), publisher.copies)
        self._events: asyncio.Queue[steps.Event] = asyncio.Queue()
        self._tree: Tree | None = None
        self._answer: PublishAnswer | None = None

    async def run(self, end_s: float) -> PublishAnswer:
        self._carry_out(self._machine.start())
        while self._answer is None:
            event: steps.Event = steps.Expired()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(end_s):
                    event = await self._events.get()
            self._carry_out(self._machine.handle(event))
        return self._answer

    def _carry_out(self, actions: steps.Actions) -> None:
        for action in actions:
            match action:
                case steps.Finish(answer):
                    self._answer = answer
                case steps.Announce(record):
                    self._announce(record)
                case steps.Propose(record, peers):
                    self._publisher.spawn(self._propose(record, peers))
                case _:
                    self._publisher.spawn(self._tell(action))

    async def _tell(self, action: steps.Action) -> None:
        """One call, and the event that comes of it. A fault of this process is one that refuses."""
        try:
            event = await self._call(action)
        except Exception as error:
            log.exception("a step of a publish failed", step=self._machine.step.value)
            unsure = isinstance(action, steps.CompareAndSwap)
            event = steps.SwapUnknown(f"{type(error).__name__}: {error}") if unsure else steps.Expired()
        self._events.put_nowait(event)

    async def _call(self, action: steps.Action) -> steps.Event:
        match action:
            case steps.ReadStanding():
                return await self._read()
            case steps.Validate(request):
                return await self._validate(request)
            case steps.StoreHere(record):
                return await self._store(record)
            case steps.CompareAndSwap(expected, replacement):
                return await self._publisher.register.swap(expected, replacement)
        raise TypeError(f"no call: {action!r:.100}")

    async def _read(self) -> steps.Event:
        publisher = self._publisher
        if await publisher.reader.read_since(publisher.clock_ms(), READ_WITHIN_S):
            return steps.StandingRead(publisher.replica.standing)
        return steps.StandingUnknown(publisher.reader.reason or f"no answer within {READ_WITHIN_S:g} s")

    async def _validate(self, request: PublishRequest) -> steps.Event:
        replica, delta = self._publisher.replica, request.delta
        if replica.standing.revision != delta.base:
            return steps.Overtaken(replica.standing)
        tree = replica.tree
        found = await asyncio.to_thread(faults, tree, delta)
        if found:
            return steps.FaultsFound(found)
        self._tree, record = await asyncio.to_thread(_prepare, tree, request, time.time())
        return steps.Prepared(record)

    async def _store(self, record: Record) -> steps.Event:
        try:
            await self._publisher.storage.save_proposal(record)
        except (OSError, TooManyProposals) as error:
            return steps.NotStoredHere(f"this server's disk: {error}")
        self._publisher.replica.propose(record, self._tree)
        return steps.StoredHere()

    async def _propose(self, record: Record, peers: tuple[str, ...]) -> None:
        body = await asyncio.to_thread(codec.encode, Proposal(record))
        await asyncio.gather(*(self._propose_to(peer, body) for peer in peers))

    async def _propose_to(self, peer: str, body: bytes) -> None:
        try:
            answer = await self._publisher.peers.send(
                peer, PROPOSE_PATH, body, ProposalAnswer, PROPOSE_TIMEOUT_S
            )
        except PeerError as error:
            self._events.put_nowait(steps.PeerFailed(peer, str(error)))
            return
        if isinstance(answer, Stored):
            self._events.put_nowait(steps.PeerStored(peer))
        else:
            self._events.put_nowait(steps.PeerFailed(peer, answer.reason, answer.standing))

    def _announce(self, record: Record) -> None:
        publisher = self._publisher
        assert self._tree
        publisher.catching_up.stands(record, self._tree)
        body = codec.encode(StandingNotice(Standing(record.revision, record.digest)))
        for peer in publisher.peers.by_name:
            publisher.spawn(self._notify(peer, body))

    async def _notify(self, peer: str, body: bytes) -> None:
        with contextlib.suppress(PeerError):
            await self._publisher.peers.send(peer, STANDING_PATH, body, Stored, NOTICE_TIMEOUT_S)


def _prepare(tree: Tree, request: PublishRequest, now_s: float) -> tuple[Tree, Record]:
    after = apply(tree, request.delta)
    revision = request.delta.base + 1
    return after, Record(revision, after.digest, request.delta, request.author, request.note, now_s)
