"""The disk of a control server beside its event loop: one thread, runs of gateways written in groups."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from brackenloft.configuration.disk import Disk, MissingProposal, RosterEntry
from brackenloft.configuration.grouping import Grouped
from brackenloft.configuration.loading import Recovered, recover
from brackenloft.configuration.model import Record, Standing
from brackenloft.configuration.roster import MOST_RUNS
from brackenloft.configuration.tree import Tree
from brackenloft.fleet.logs import logger

log = logger(__name__)
RECORDS_BEFORE_SNAPSHOT = 100  # that a start has to apply at most, at a disk without faults
Result = TypeVar("Result")


@dataclass(frozen=True)
class Started:
    """What a disk held at the start. ``runs_complete``: it held all runs that it was ever told."""

    recovered: Recovered
    proposals: tuple[Record, ...]
    runs: tuple[RosterEntry, ...]
    runs_complete: bool


class Storage:
    """All that lasts. Calls are carried out one after the other, in the order in which they are made."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._disk = Disk(directory)
        self._thread = ThreadPoolExecutor(1, "disk")
        self._runs = Grouped(self._write_runs, MOST_RUNS)
        self._background: set[asyncio.Task[None]] = set()
        self._records = 0  # stored since the last snapshot
        self.failures = 0

    async def load(self) -> Started:
        """Read the disk; OSError if its directories can't be made or read."""
        return await self._call(self._load)

    def _load(self) -> Started:
        self._directory.mkdir(parents=True, exist_ok=True)
        loaded = self._disk.load()
        recovered = recover(loaded)
        complete = loaded.runs_complete and not loaded.blank
        return Started(recovered, loaded.proposals, loaded.runs, complete)

    async def save_proposal(self, record: Record) -> None:
        """On the disk when this returns. OSError or TooManyProposals if it isn't."""
        await self._call(lambda: self._disk.save_proposal(record))

    def stands(self, record: Record, tree: Tree, log_start: int) -> None:
        """A record stands: move its proposal, or store it anew, in the background.

        Its proposal is on ``copies`` disks already, so that nothing is lost if this fails. A proposal on top
        of it is stored after it, as calls keep their order: a disk never needs two proposals in a row.
        """
        self._records += 1
        with_snapshot = self._records >= RECORDS_BEFORE_SNAPSHOT
        if with_snapshot:
            self._records = 0
        self._in_background(lambda: self._stands(record, tree, log_start, with_snapshot))

    def _stands(self, record: Record, tree: Tree, log_start: int, with_snapshot: bool) -> None:
        try:
            self._disk.promote(Standing(record.revision, record.digest))
        except MissingProposal:
            self._disk.save_record(record)
        self._disk.drop_proposals(record.revision)
        if with_snapshot:
            self._disk.save_snapshot(record.revision, tree)
            self._disk.drop_records(min(log_start, record.revision))

    def replaced(self, standing: Standing, tree: Tree) -> None:
        """A document without the records that led to it: store it whole, in the background."""
        self._records = 0
        self._in_background(lambda: self._replaced(standing, tree))

    def _replaced(self, standing: Standing, tree: Tree) -> None:
        self._disk.save_snapshot(standing.revision, tree)
        self._disk.drop_proposals(standing.revision)
        self._disk.drop_records(standing.revision)

    # ---- Runs of gateways

    async def save_run(self, entry: RosterEntry) -> None:
        """On the disk when this returns, together with others that wait; OSError if it isn't."""
        await self._runs.add(entry)

    async def _write_runs(self, entries: tuple[RosterEntry, ...]) -> None:
        try:
            await self._call(lambda: self._disk.save_runs(entries))
        except OSError as error:
            self._failed(error)
            raise

    async def replace_runs(self, entries: Iterable[RosterEntry]) -> None:
        """Hold these runs and no others; OSError if that failed."""
        whole = tuple(entries)
        await self._call(lambda: self._disk.replace_runs(whole))

    # ---- The thread

    async def _call(self, work: Callable[[], Result]) -> Result:
        return await asyncio.get_running_loop().run_in_executor(self._thread, work)

    def _in_background(self, work: Callable[[], None]) -> None:
        task = asyncio.create_task(self._guarded(work))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _guarded(self, work: Callable[[], None]) -> None:
        try:
            await self._call(work)
        except OSError as error:
            self._failed(error)

    def _failed(self, error: OSError) -> None:
        self.failures += 1
        log.error("the disk failed", error=error)

    async def close(self) -> None:
        """Wait for what is being written."""
        if self._background:
            await asyncio.gather(*self._background, return_exceptions=True)
        await self._runs.finish()
        self._thread.shutdown()
