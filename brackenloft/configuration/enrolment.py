"""Runs of gateways made known to enough control servers before they are answered for the first time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import Any

from brackenloft.configuration.disk import RosterEntry
from brackenloft.configuration.grouping import Grouped
from brackenloft.configuration.messages import (
    ENROL_PATH,
    STATUS_PATH,
    Enrolled,
    EnrolRequest,
    Follower,
    ServerStatus,
)
from brackenloft.configuration.peers import PeerError, Peers
from brackenloft.configuration.roster import (
    MOST_RUNS,
    Roster,
    RosterFullError,
    RunKey,
    enough_servers,
    key_of,
)
from brackenloft.configuration.storage import Storage
from brackenloft.fleet.logs import logger

log = logger(__name__)
MOST_TOLD = 1000  # runs in one message to a peer
ENROL_TIMEOUT_S = 1.0  # of one peer; an enrolment that has too few answers by then counts for nothing
# A server without its disk waits for longer than any enrolment that it took part in before may have taken.
RECOVERY_WAIT_S = 3.0 * ENROL_TIMEOUT_S
RECOVERY_RETRY_S = 1.0
STATUS_TIMEOUT_S = 2.0


class Enrolment:
    """This server's roster, on its disk and at its peers."""

    def __init__(
        self, roster: Roster, storage: Storage, peers: Peers, copies: int, clock_ms: Callable[[], float]
    ) -> None:
        self._roster, self._storage, self._peers = roster, storage, peers
        self._copies, self._clock_ms = copies, clock_ms
        self._done: set[RunKey] = set()  # runs that enough servers told us to know
        self._on_disk: set[RunKey] = set(roster.runs)
        self._under_way: dict[RunKey, asyncio.Task[bool]] = {}
        self._tellers = {peer: Grouped(partial(self._tell, peer), MOST_TOLD) for peer in peers.by_name}
        self._background: set[asyncio.Task[bool]] = set()
        self.failures = 0

    def is_done(self, follower: Follower) -> bool:
        """Whether this server has had the run enrolled at enough servers."""
        return key_of(follower) in self._done

    async def ensure(self, follower: Follower) -> bool:
        """Have a run enrolled at enough servers; False if that failed."""
        return self.is_done(follower) or await asyncio.shield(self.begin(follower))

    def begin(self, follower: Follower) -> asyncio.Task[bool]:
        """The enrolment of a run that is under way, or a new one."""
        key = key_of(follower)
        task = self._under_way.get(key)
        if task is None:
            task = asyncio.create_task(self._enrol(follower))
            self._under_way[key] = task
            task.add_done_callback(lambda _: self._under_way.pop(key, None))
        return task

    async def _enrol(self, follower: Follower) -> bool:
        entry, stored = RosterEntry(follower), 0
        calls = [self._spawn(_succeeds(self._store(entry)))]
        calls += [self._spawn(_succeeds(teller.add(entry))) for teller in self._tellers.values()]
        try:
            async with asyncio.timeout(ENROL_TIMEOUT_S):
                for done in asyncio.as_completed(calls):
                    stored += await done
                    if stored >= self._copies:
                        self._remember(key_of(follower))
                        return True
        except TimeoutError:
            pass
        self.failures += 1
        log.warning("a run is not enrolled", gateway=follower.gateway, servers=stored, needed=self._copies)
        return False

    def _spawn(self, work: Coroutine[Any, Any, bool]) -> asyncio.Task[bool]:
        """Something that goes on to its end, also when it is not waited for."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def _remember(self, key: RunKey) -> None:
        self._done.add(key)
        if len(self._done) > MOST_RUNS:
            self._done &= self._roster.runs.keys()

    async def _tell(self, peer: str, entries: tuple[RosterEntry, ...]) -> None:
        """One message for all runs that wait. PeerError."""
        request = EnrolRequest(
            tuple(entry.follower for entry in entries if not entry.left),
            tuple(entry.follower for entry in entries if entry.left),
        )
        await self._peers.call(peer, ENROL_PATH, request, Enrolled, ENROL_TIMEOUT_S)

    async def take(self, request: EnrolRequest) -> None:
        """Know runs, on the disk when this returns; OSError or RosterFullError if they aren't all."""
        entries = [RosterEntry(follower) for follower in request.followers]
        entries += [RosterEntry(follower, left=True) for follower in request.left]
        await asyncio.gather(*map(self._store, entries))

    async def _store(self, entry: RosterEntry) -> None:
        key, now_ms = key_of(entry.follower), self._clock_ms()
        if self._roster.enrol(entry.follower, now_ms):
            self.forget(entry.follower)
        if entry.left:
            self._roster.leave(entry.follower, now_ms)
        if entry.left or key not in self._on_disk:
            await self._storage.save_run(entry)
            self._on_disk.add(key)

    async def leave(self, follower: Follower) -> None:
        """A run ended: known here when this returns, and told to the peers. Errors as ``take``."""
        entry = RosterEntry(follower, left=True)
        for teller in self._tellers.values():
            self._spawn(_succeeds(teller.add(entry)))
        await self._store(entry)

    def confirm(self, follower: Follower, in_force: int) -> None:
        """A run said what it has in force; RosterFullError if it is new and there is no room."""
        now_ms = self._clock_ms()
        if self._roster.enrol(follower, now_ms):
            self.forget(follower)
        self._roster.confirm(follower, in_force, now_ms)

    def forget(self, follower: Follower) -> None:
        """The run is to be enrolled anew if it is heard of again."""
        self._done.discard(key_of(follower))
        self._on_disk.discard(key_of(follower))

    async def forget_gone(self) -> None:
        """Drop runs that have been gone for long, here and on the disk; OSError if that failed there."""
        forgotten = self._roster.forget_gone(self._clock_ms())
        for follower in forgotten:
            self.forget(follower)
        if forgotten:
            await self._replace_on_disk()

    async def _replace_on_disk(self) -> None:
        runs = dict(self._roster.runs)
        await self._storage.replace_runs(
            RosterEntry(run.follower, run.in_force, run.left) for run in runs.values()
        )
        self._on_disk |= runs.keys()

    async def close(self) -> None:
        """Tell nobody any more."""
        tasks = [*self._background, *self._under_way.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*(teller.cancel() for teller in self._tellers.values()))

    # ---- A disk that was lost

    async def recover(self, servers: int) -> None:
        """Come to know all runs again that this server was told of: from enough others, or from all.

        Enough are those that know every run that is enrolled. If others lost theirs too, all have to tell.
        """
        await asyncio.sleep(RECOVERY_WAIT_S if self._peers.by_name else 0.0)
        enough = enough_servers(servers, self._copies)
        while True:
            statuses = await asyncio.gather(*map(self._status, self._peers.by_name))
            known = [status for status in statuses if status]
            complete = [status for status in known if status.complete]
            if len(complete) >= enough or len(known) == len(self._peers.by_name):
                try:
                    await self._adopt(known)
                    return
                except (OSError, RosterFullError) as error:
                    log.error("the roster can't be stored", error=error)
            await asyncio.sleep(RECOVERY_RETRY_S)

    async def _adopt(self, statuses: list[ServerStatus]) -> None:
        for status in statuses:
            self._roster.adopt(status.confirmations, self._clock_ms())
        await self._replace_on_disk()
        log.info("the roster is complete", runs=len(self._roster.runs), servers=len(statuses))

    async def _status(self, peer: str) -> ServerStatus | None:
        try:
            answer = await self._peers.send(peer, STATUS_PATH, b"", ServerStatus, STATUS_TIMEOUT_S)
        except PeerError:
            return None
        return answer if isinstance(answer, ServerStatus) else None


async def _succeeds(work: Awaitable[None]) -> bool:
    """Whether something was done; what may go wrong at a disk or a peer is no more than that."""
    try:
        await work
    except (OSError, PeerError, RosterFullError):
        return False
    return True
