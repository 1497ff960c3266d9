"""From what a disk holds to the document and the log of a control server. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from brackenloft.configuration.builder import Builder, apply
from brackenloft.configuration.disk import SNAPSHOT, Damaged, Loaded, SnapshotFile, record_name
from brackenloft.configuration.log import Log
from brackenloft.configuration.model import FIRST_REVISION, Record, Standing
from brackenloft.configuration.tree import TOTAL_BUCKETS, DigestMismatch, Tree


@dataclass(frozen=True)
class Recovered:
    """The newest document that can be built, its log, and what could not be used.

    A later revision may stand: the register is read, and what is missing is fetched from other servers.
    """

    tree: Tree
    log: Log
    damaged: tuple[Damaged, ...]

    @property
    def standing(self) -> Standing:
        """The revision of ``tree``."""
        return self.log.newest


def recover(loaded: Loaded) -> Recovered:
    """Build the snapshot and apply the records after it, as far as they follow each other."""
    damaged = list(loaded.damaged)
    revision, tree = _snapshot(loaded.snapshot, damaged)
    by_revision = _sound_records(loaded.records, damaged)
    newest, tree = _apply_records(revision, tree, by_revision, damaged)
    log = _log(Standing(newest, tree.digest), by_revision)
    return Recovered(tree, log, tuple(damaged))


def load_snapshot(file: SnapshotFile) -> Tree:
    """The document of a snapshot. DigestMismatch if any part of it is not what it should be."""
    if not len(file.buckets) == len(file.bucket_digests) == TOTAL_BUCKETS:
        raise DigestMismatch(f"{len(file.buckets)} buckets instead of {TOTAL_BUCKETS}")
    builder = Builder(Tree.empty())
    for index, (data, digest) in enumerate(zip(file.buckets, file.bucket_digests, strict=True)):
        builder.load_bucket(index, data, digest)
    return builder.finish(file.standing.digest)


def _snapshot(file: SnapshotFile | None, damaged: list[Damaged]) -> tuple[int, Tree]:
    if file is None:
        return FIRST_REVISION, Tree.empty()
    try:
        return file.standing.revision, load_snapshot(file)
    except DigestMismatch as error:
        damaged.append(Damaged(SNAPSHOT, str(error)))
        return FIRST_REVISION, Tree.empty()


def _sound_records(records: tuple[Record, ...], damaged: list[Damaged]) -> dict[int, Record]:
    sound = {}
    for record in records:
        if record.delta.base == record.revision - 1:
            sound[record.revision] = record
        else:
            name = f"records/{record_name(record.revision)}"
            damaged.append(Damaged(name, f"is a change of revision {record.delta.base}"))
    return sound


def _apply_records(
    revision: int, tree: Tree, by_revision: dict[int, Record], damaged: list[Damaged]
) -> tuple[int, Tree]:
    while (record := by_revision.get(revision + 1)) is not None:
        after = apply(tree, record.delta)
        if after.digest != record.digest:
            reason = "does not lead to the document of its digest"
            damaged.append(Damaged(f"records/{record_name(record.revision)}", reason))
            break
        revision, tree = revision + 1, after
    return revision, tree


def _log(newest: Standing, by_revision: dict[int, Record]) -> Log:
    """The records up to the newest revision without a gap. Of the first one only the digest can be used."""
    record = by_revision.get(newest.revision)
    if record is None or record.digest != newest.digest:
        return Log(newest)
    first = newest.revision
    while first - 1 in by_revision:
        first -= 1
    if first == FIRST_REVISION + 1:
        log = Log()
        log.append(by_revision[first])
    else:
        log = Log(Standing(first, by_revision[first].digest))
    for revision in range(first + 1, newest.revision + 1):
        log.append(by_revision[revision])
    return log
