"""A control server's directory: a snapshot, records, proposals, and the gateway processes that it knows.

- ``snapshot`` is the document of one revision;
- ``records/REVISION`` are the records that stand, of before and after the snapshot;
- ``proposals/REVISION-DIGEST`` are records that do not stand yet, and may never do;
- ``runs/NUMBER`` are batches of processes of gateways, later ones overriding earlier ones.

All calls block on the disk, and one thread at a time may make them. A call that raises OSError has done all
of its change or nothing of it. What was damaged is reported by ``Disk.load`` and set aside, never believed.
"""

from __future__ import annotations

import contextlib
import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from brackenloft.configuration.files import DAMAGED, SYSTEM, DamagedFile, FileOperations, Folder
from brackenloft.configuration.messages import Follower
from brackenloft.configuration.model import Record, Standing
from brackenloft.configuration.tree import Tree

MOST_PROPOSALS = 256
MOST_RUN_BATCHES = 64  # files; they are merged into one beyond it
SNAPSHOT = "snapshot"
RECORD_NAME = re.compile(r"[0-9]{20}")
PROPOSAL_NAME = re.compile(r"([0-9]{20})-([0-9a-f]{32})")
BATCH_NAME = re.compile(r"[0-9]{12}")
FileType = TypeVar("FileType")


class TooManyProposals(RuntimeError):  # noqa: N818
    """There are ``MOST_PROPOSALS`` proposals already; none of them may be forgotten for another."""


class MissingProposal(LookupError):  # noqa: N818
    """The proposal that is to stand is not on this disk."""


class RosterEntry(msgspec.Struct, frozen=True):
    """One process of a gateway, what it was last known to have in force, and whether it ended."""

    follower: Follower
    in_force: int = 0
    left: bool = False


class SnapshotFile(msgspec.Struct, frozen=True, tag=True):
    """The document of a revision as encoded buckets."""

    standing: Standing
    bucket_digests: tuple[bytes, ...]
    buckets: tuple[bytes, ...]


class RecordFile(msgspec.Struct, frozen=True, tag=True):
    """A record that stands."""

    record: Record


class RunsFile(msgspec.Struct, frozen=True, tag=True):
    """A batch of processes; ``whole``: all that are known, so that earlier batches do not count any more."""

    whole: bool
    entries: tuple[RosterEntry, ...]


class Damaged(msgspec.Struct, frozen=True):
    """A file that was not believed, or is missing, and why."""

    file: str
    reason: str


class Loaded(msgspec.Struct, frozen=True):
    """What a disk holds. ``blank``: there was nothing, neither good nor damaged.

    ``runs_complete`` is False where batches of processes were damaged or missing: others have to be asked.
    """

    snapshot: SnapshotFile | None
    records: tuple[Record, ...]
    proposals: tuple[Record, ...]
    runs: tuple[RosterEntry, ...]
    damaged: tuple[Damaged, ...]
    runs_complete: bool
    blank: bool


def record_name(revision: int) -> str:
    """The file of a record that stands."""
    return f"{revision:020d}"


def proposal_name(revision: int, digest: bytes) -> str:
    """The file of a proposal."""
    return f"{revision:020d}-{digest.hex()}"


def batch_name(number: int) -> str:
    """The file of a batch of processes."""
    return f"{number:012d}"


class Disk:
    """The directory of one control server. Call ``load`` first, once."""

    def __init__(self, directory: Path, system: FileOperations = SYSTEM) -> None:
        self._root = Folder(directory, system)
        self._records = Folder(directory / "records", system)
        self._proposals = Folder(directory / "proposals", system)
        self._batches = Folder(directory / "runs", system)
        self._runs: dict[tuple[str, str], RosterEntry] = {}
        self._next_batch = 0
        self._damaged: list[Damaged] = []

    # ---- Reading

    def load(self) -> Loaded:
        """Everything that is good, and what is not; makes the directories where there are none."""
        folders = (self._root, self._records, self._proposals, self._batches)
        for folder in folders:
            folder.create()
            folder.remove_unfinished()
        blank = not any(folder.all_names() for folder in folders[1:])
        blank = blank and not any(name.startswith(SNAPSHOT) for name in self._root.all_names())
        self._damaged = []
        runs_complete = self._load_runs()
        snapshot = self._load_snapshot()
        records, proposals = self._load_records(), self._load_proposals()
        runs = tuple(self._runs.values())
        return Loaded(snapshot, records, proposals, runs, tuple(self._damaged), runs_complete, blank)

    def _load_snapshot(self) -> SnapshotFile | None:
        if SNAPSHOT not in self._root.names():
            return None
        found: SnapshotFile | None = self._read(self._root, SNAPSHOT, SnapshotFile)
        return found

    def _load_records(self) -> tuple[Record, ...]:
        found: list[Record] = []
        for name, file in self._files(self._records, RECORD_NAME, RecordFile):
            if record_name(file.record.revision) == name:
                found.append(file.record)
            else:
                self._refuse(self._records, name, f"holds revision {file.record.revision}")
        return tuple(found)

    def _load_proposals(self) -> tuple[Record, ...]:
        found: list[Record] = []
        for name, file in self._files(self._proposals, PROPOSAL_NAME, RecordFile):
            if proposal_name(file.record.revision, file.record.digest) == name:
                found.append(file.record)
            else:
                self._refuse(self._proposals, name, f"holds another proposal of {file.record.revision}")
        return tuple(found)

    def _load_runs(self) -> bool:
        """Merge the batches in order; whether all of them since the last whole one were there and good."""
        self._runs, complete = {}, True
        numbers, good = self._batch_numbers(), self._batches.names()
        expected = None
        for number in numbers:
            name = batch_name(number)
            file = self._read(self._batches, name, RunsFile) if name in good else None
            if file is not None and file.whole:
                self._runs, complete = {}, True
            elif file is None or number != expected:
                complete = False
            expected = number + 1
            self._merge(file.entries if file else ())
        self._next_batch = expected or 0
        if not complete:
            self._damaged.append(Damaged("runs", "batches are damaged or missing"))
        return complete

    def _batch_numbers(self) -> list[int]:
        """The numbers of all batches, also of those that were found damaged earlier."""
        names = {name.removesuffix(DAMAGED) for name in self._batches.all_names()}
        return sorted(int(name) for name in names if BATCH_NAME.fullmatch(name))

    def _files(
        self, folder: Folder, pattern: re.Pattern[str], kind: type[FileType]
    ) -> Iterator[tuple[str, FileType]]:
        for name in folder.names():
            if not pattern.fullmatch(name):
                self._refuse(folder, name, "has a name that is not used here")
                continue
            file = self._read(folder, name, kind)
            if file is not None:
                yield name, file

    def _read(self, folder: Folder, name: str, kind: type[FileType]) -> FileType | None:
        try:
            found: Any = folder.read(name, kind)
        except DamagedFile as error:
            self._refuse(folder, name, str(error))
            return None
        except OSError as error:  # it may be good, and readable the next time
            self._report(folder, name, str(error))
            return None
        return found  # type: ignore[no-any-return]

    def _report(self, folder: Folder, name: str, reason: str) -> None:
        shown = name if folder is self._root else f"{folder.path.name}/{name}"
        self._damaged.append(Damaged(shown, reason))

    def _refuse(self, folder: Folder, name: str, reason: str) -> None:
        self._report(folder, name, reason)
        with contextlib.suppress(OSError):
            folder.set_aside(name)

    # ---- Records and proposals

    def save_proposal(self, record: Record) -> None:
        """Store a record that may come to stand. TooManyProposals beyond the bound."""
        name = proposal_name(record.revision, record.digest)
        names = self._proposals.names()
        if name not in names and len(names) >= MOST_PROPOSALS:
            raise TooManyProposals(f"{len(names)} proposals are kept")
        self._proposals.write(name, RecordFile(record))

    def promote(self, standing: Standing) -> None:
        """Make the proposal of a revision and digest a record that stands; MissingProposal without one."""
        name = proposal_name(standing.revision, standing.digest)
        try:
            file: RecordFile = self._proposals.read(name, RecordFile)
        except (FileNotFoundError, DamagedFile) as error:
            raise MissingProposal(f"no proposal of revision {standing.revision} with this digest") from error
        self.save_record(file.record)
        self._proposals.remove(name)

    def save_record(self, record: Record) -> None:
        """Store a record that stands and that came from another server."""
        self._records.write(record_name(record.revision), RecordFile(record))

    def drop_proposals(self, up_to_revision: int) -> None:
        """Delete the proposals of revisions that are decided."""
        self._drop(self._proposals, PROPOSAL_NAME, up_to_revision)

    def drop_records(self, up_to_revision: int) -> None:
        """Delete old records: at most those of the snapshot's revision and before."""
        self._drop(self._records, RECORD_NAME, up_to_revision)

    def save_snapshot(self, revision: int, tree: Tree) -> None:
        """Store the document of a revision in place of an older one. Records are left as they are."""
        digests = tree.bucket_digests
        buckets = tuple(tree.encode_bucket(index) for index in range(len(digests)))
        self._root.write(SNAPSHOT, SnapshotFile(Standing(revision, tree.digest), digests, buckets))

    def _drop(self, folder: Folder, pattern: re.Pattern[str], up_to_revision: int) -> None:
        last = record_name(up_to_revision)
        for name in folder.names():
            if pattern.fullmatch(name) and name[: len(last)] <= last:
                folder.remove(name)

    # ---- Processes of gateways

    def save_runs(self, entries: Iterable[RosterEntry]) -> None:
        """Add processes, or what is new about them, as one batch: one file however many they are."""
        batch = tuple(entries)
        self._write_batch(RunsFile(self._next_batch == 0, batch))
        self._merge(batch)
        if len(self._batches.names()) > MOST_RUN_BATCHES:
            self.replace_runs(self._runs.values())

    def replace_runs(self, entries: Iterable[RosterEntry]) -> None:
        """Know these processes and no others."""
        batch = tuple(entries)
        number = self._write_batch(RunsFile(True, batch))
        self._runs = {}
        self._merge(batch)
        for name in self._batches.all_names():
            if name < batch_name(number):
                self._batches.remove(name)

    def _write_batch(self, file: RunsFile) -> int:
        number = self._next_batch
        self._batches.write(batch_name(number), file)
        self._next_batch += 1
        return number

    def _merge(self, entries: Iterable[RosterEntry]) -> None:
        for entry in entries:
            key = (entry.follower.gateway, entry.follower.run)
            known = self._runs.get(key)
            if known is not None:
                in_force = max(known.in_force, entry.in_force)
                entry = RosterEntry(entry.follower, in_force, known.left or entry.left)
            self._runs[key] = entry
