"""A control server's disk: any call fails, power is lost at any call, any byte of a file is damaged."""

from __future__ import annotations

import random
from pathlib import Path

import msgspec
import pytest
from configuration_history import RECORDS, REVISIONS, TREES, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.configuration import disk as disks
from brackenloft.configuration.disk import (
    MOST_RUN_BATCHES,
    Disk,
    Loaded,
    MissingProposal,
    TooManyProposals,
    proposal_name,
    record_name,
)
from brackenloft.configuration.files import DAMAGED, TEMPORARY
from brackenloft.configuration.loading import load_snapshot, recover
from brackenloft.configuration.model import Standing
from brackenloft.configuration.tree import DigestMismatch, Tree

ROOT = Path("/control")


def opened(directory: Path) -> tuple[Disk, Loaded]:
    disk = Disk(directory)
    return disk, disk.load()


def filled(directory: Path) -> Disk:
    """A snapshot of 3, records 2 to 5, a proposal of 6, three batches of processes."""
    disk, _ = opened(directory)
    disk.save_snapshot(3, TREES[3])
    for record in RECORDS[1:5]:
        disk.save_record(record)
    disk.save_proposal(RECORDS[5])
    for gateway in range(3):
        disk.save_runs([entry(gateway, gateway)])
    return disk


# ---- What is stored is found again


def test_what_was_stored_is_found_again(tmp_path):
    assert opened(tmp_path / "a")[1].blank
    filled(tmp_path / "a")
    loaded = opened(tmp_path / "a")[1]
    assert loaded.snapshot.standing == Standing(3, TREES[3].digest)
    assert loaded.records == tuple(RECORDS[1:5])
    assert loaded.proposals == (RECORDS[5],)
    assert loaded.runs == tuple(entry(gateway, gateway) for gateway in range(3))
    assert (loaded.damaged, loaded.runs_complete, loaded.blank) == ((), True, False)
    recovered = recover(loaded)
    assert recovered.standing == Standing(5, TREES[5].digest)
    assert recovered.tree.digest == TREES[5].digest
    assert recovered.log.records_after(2) == tuple(RECORDS[2:5])


def test_a_proposal_comes_to_stand_and_those_that_lost_are_dropped(tmp_path):
    disk = filled(tmp_path)
    lost = msgspec.structs.replace(RECORDS[5], digest=b"l" * 16)
    disk.save_proposal(lost)
    disk.save_proposal(lost)
    disk.save_proposal(RECORDS[6])
    disk.promote(Standing(6, RECORDS[5].digest))
    disk.drop_proposals(6)
    loaded = opened(tmp_path)[1]
    assert loaded.records[-1] == RECORDS[5]
    assert loaded.proposals == (RECORDS[6],)
    with pytest.raises(MissingProposal):
        disk.promote(Standing(6, lost.digest))


def test_old_records_are_dropped(tmp_path):
    disk = filled(tmp_path)
    disk.drop_records(3)
    assert opened(tmp_path)[1].records == tuple(RECORDS[3:5])


def test_proposals_are_bounded_and_none_is_forgotten(tmp_path, monkeypatch):
    monkeypatch.setattr(disks, "MOST_PROPOSALS", 2)
    disk, _ = opened(tmp_path)
    disk.save_proposal(RECORDS[0])
    disk.save_proposal(RECORDS[1])
    disk.save_proposal(RECORDS[1])
    with pytest.raises(TooManyProposals):
        disk.save_proposal(RECORDS[2])
    assert opened(tmp_path)[1].proposals == (RECORDS[0], RECORDS[1])


def test_batches_of_processes_are_merged(tmp_path):
    disk, _ = opened(tmp_path)
    for number in range(MOST_RUN_BATCHES * 2 + 5):
        disk.save_runs([entry(number % 7, number), entry(number, left=True)])
    assert len(list((tmp_path / "runs").iterdir())) <= MOST_RUN_BATCHES
    runs = {item.follower.gateway: item for item in opened(tmp_path)[1].runs}
    assert len(runs) == MOST_RUN_BATCHES * 2 + 5
    assert all(item.left for item in runs.values())
    disk.save_runs([entry(1, 3)])
    assert entry(1, max(range(1, MOST_RUN_BATCHES * 2 + 5, 7)), True) in opened(tmp_path)[1].runs
    disk.replace_runs([entry(1, 3)])
    loaded = opened(tmp_path)[1]
    assert (loaded.runs, loaded.runs_complete) == ((entry(1, 3),), True)


# ---- Damage


def damaged_contents(data: bytes, chance: random.Random) -> list[bytes]:
    """The file cut at every byte, and with every byte changed."""
    cuts = [data[:length] for length in range(len(data))]
    flips = [
        data[:place] + bytes([data[place] ^ chance.randrange(1, 256)]) + data[place + 1 :]
        for place in range(len(data))
    ]
    return [*cuts, *flips, data + b"\0"]


def damage_everywhere(directory: Path, name: str):
    """Load after each damage of a file; the file's good content is put back afterwards."""
    path = directory / name
    good = path.read_bytes()
    for content in damaged_contents(good, random.Random(name)):
        path.write_bytes(content)
        loaded = opened(directory)[1]
        assert loaded.damaged[0].file == name
        assert path.with_name(path.name + DAMAGED).read_bytes() == content
        assert not path.exists()
        yield loaded
        path.with_name(path.name + DAMAGED).unlink()
        path.write_bytes(good)


def test_any_damage_of_the_snapshot_is_noticed(tmp_path):
    filled(tmp_path)
    for loaded in damage_everywhere(tmp_path, "snapshot"):
        assert loaded.snapshot is None
        assert (len(loaded.records), len(loaded.proposals), len(loaded.runs)) == (4, 1, 3)
        assert not loaded.blank
    assert recover(loaded).standing == Standing(0, Tree.empty().digest)


def test_any_damage_of_a_record_is_noticed(tmp_path):
    filled(tmp_path)
    for loaded in damage_everywhere(tmp_path, f"records/{record_name(4)}"):
        assert loaded.records == (RECORDS[1], RECORDS[2], RECORDS[4])
        assert loaded.snapshot and loaded.proposals and loaded.runs_complete
    recovered = recover(loaded)
    assert recovered.standing == Standing(3, TREES[3].digest)
    assert recovered.log.records_after(2) == (RECORDS[2],)


def test_any_damage_of_a_proposal_is_noticed(tmp_path):
    filled(tmp_path)
    for loaded in damage_everywhere(tmp_path, f"proposals/{proposal_name(6, RECORDS[5].digest)}"):
        assert loaded.proposals == ()
        assert loaded.snapshot and len(loaded.records) == 4 and loaded.runs_complete


@pytest.mark.parametrize("number", [0, 1, 2])
def test_any_damage_of_a_batch_of_processes_is_noticed_until_all_are_known_again(tmp_path, number):
    filled(tmp_path)
    for loaded in damage_everywhere(tmp_path, f"runs/{number:012d}"):
        assert not loaded.runs_complete
        assert loaded.runs == tuple(entry(gateway, gateway) for gateway in range(3) if gateway != number)
    (tmp_path / "runs" / f"{number:012d}").write_bytes(b"")
    disk, _ = opened(tmp_path)
    assert not opened(tmp_path)[1].runs_complete
    disk.save_runs([entry(9)])
    assert not opened(tmp_path)[1].runs_complete
    disk.replace_runs([entry(9)])
    loaded = opened(tmp_path)[1]
    assert (loaded.runs, loaded.runs_complete, loaded.damaged) == ((entry(9),), True, ())


def test_a_batch_that_is_missing_is_noticed(tmp_path):
    filled(tmp_path)
    (tmp_path / "runs" / f"{1:012d}").unlink()
    loaded = opened(tmp_path)[1]
    assert not loaded.runs_complete and len(loaded.runs) == 2


def test_a_good_file_in_the_place_of_another_is_refused(tmp_path):
    filled(tmp_path)
    record = (tmp_path / "records" / record_name(5)).read_bytes()
    proposal = next((tmp_path / "proposals").iterdir())
    (tmp_path / "records" / record_name(4)).write_bytes(record)
    (tmp_path / "records" / "notes.txt").write_bytes(record)
    (tmp_path / "snapshot").write_bytes(record)
    proposal.write_bytes(record)
    loaded = opened(tmp_path)[1]
    names = [f"records/{record_name(4)}", "records/notes.txt", f"proposals/{proposal.name}", "snapshot"]
    assert sorted(item.file for item in loaded.damaged) == sorted(names)
    assert loaded.records == (RECORDS[1], RECORDS[2], RECORDS[4])


def test_a_disk_of_which_all_was_damaged_is_not_taken_for_a_blank_one(tmp_path):
    disk, _ = opened(tmp_path)
    disk.save_snapshot(1, TREES[1])
    (tmp_path / "snapshot").write_bytes(b"")
    assert not opened(tmp_path)[1].blank
    assert not opened(tmp_path)[1].blank


def test_a_snapshot_whose_parts_do_not_go_together_is_refused(tmp_path):
    disk, _ = opened(tmp_path)
    disk.save_snapshot(3, TREES[3])
    file = opened(tmp_path)[1].snapshot
    assert load_snapshot(file).digest == TREES[3].digest
    replace = msgspec.structs.replace
    for wrong in (
        replace(file, standing=Standing(3, TREES[2].digest)),
        replace(file, buckets=file.buckets[1:]),
        replace(file, buckets=(b"\x91", *file.buckets[1:])),
    ):
        with pytest.raises(DigestMismatch):
            load_snapshot(wrong)
        loaded = msgspec.structs.replace(opened(tmp_path)[1], snapshot=wrong)
        assert recover(loaded).damaged[0].file == "snapshot"


def test_records_that_do_not_lead_to_their_documents_are_not_used():
    wrong = msgspec.structs.replace(RECORDS[2], digest=b"x" * 16)
    loaded = Loaded(None, (*RECORDS[:2], wrong, RECORDS[3]), (), (), (), True, False)
    recovered = recover(loaded)
    assert recovered.standing == Standing(2, TREES[2].digest)
    assert [item.file for item in recovered.damaged] == [f"records/{record_name(3)}"]
    based = msgspec.structs.replace(RECORDS[1], delta=msgspec.structs.replace(RECORDS[1].delta, base=7))
    loaded = msgspec.structs.replace(loaded, records=(RECORDS[0], based))
    assert recover(loaded).standing.revision == 1


@settings(derandomize=True, deadline=None)
@given(st.integers(-1, REVISIONS), st.sets(st.integers(1, REVISIONS)))
def test_recovery_goes_as_far_as_records_follow_each_other(snapshot, kept):
    file = None
    if snapshot >= 0:
        tree = TREES[snapshot]
        buckets = tuple(tree.encode_bucket(index) for index in range(608))
        file = disks.SnapshotFile(Standing(snapshot, tree.digest), tree.bucket_digests, buckets)
    records = tuple(record for record in RECORDS if record.revision in kept)
    recovered = recover(Loaded(file, records, (), (), (), True, False))
    newest = max(snapshot, 0)
    while newest + 1 in kept:
        newest += 1
    assert recovered.standing == Standing(newest, TREES[newest].digest)
    assert recovered.tree.digest == TREES[newest].digest
    assert recovered.damaged == ()
    start = recovered.log.start.revision
    assert recovered.log.records_after(start) == tuple(RECORDS[start:newest])
    assert recovered.log.start.digest == TREES[start].digest
    assert start == 0 or start not in kept or start - 1 not in kept


# ---- Unfinished and unreadable files


def test_a_file_that_was_not_finished_is_removed(tmp_path):
    filled(tmp_path)
    (tmp_path / f"snapshot{TEMPORARY}").write_bytes(b"half")
    assert opened(tmp_path)[1].damaged == ()
    assert not (tmp_path / f"snapshot{TEMPORARY}").exists()


def test_a_file_that_can_not_be_read_now_stays_for_the_next_time(tmp_path, monkeypatch):
    filled(tmp_path)

    class Unreadable:
        def __getattr__(self, name: str):
            return getattr(disks.SYSTEM, name)

        def read(self, descriptor: int, length: int) -> bytes:
            raise OSError("input/output error")

    loaded = Disk(tmp_path, Unreadable()).load()
    assert loaded.snapshot is None and not loaded.runs_complete and len(loaded.damaged) == 10
    assert opened(tmp_path)[1].damaged == ()
