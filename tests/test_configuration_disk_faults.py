"""A control server's disk: any call fails, power is lost at any call; nothing that was stored is lost."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from configuration_history import RECORDS, REVISIONS, TREES, entry
from hypothesis import given, settings
from hypothesis import strategies as st
from memory_os import MemoryOs, PowerLoss

from brackenloft.configuration import disk as disks
from brackenloft.configuration.disk import Disk, Loaded
from brackenloft.configuration.loading import recover
from brackenloft.configuration.model import Standing

ROOT = Path("/control")


@dataclass
class Model:
    """What must be on the disk, and what may be."""

    snapshots: set[int] = field(default_factory=lambda: {-1})
    records: set[int] = field(default_factory=set)
    ever_records: set[int] = field(default_factory=set)
    proposals: set[int] = field(default_factory=set)
    ever_proposals: set[int] = field(default_factory=set)
    runs: dict[int, int] = field(default_factory=dict)
    ever_runs: dict[int, int] = field(default_factory=dict)

    def begin(self, step: tuple[str, int]) -> None:
        """A call is made: its effect may be there from now on, and what it deletes may be gone."""
        kind, number = step
        if kind == "snapshot":
            self.snapshots.add(number)
        elif kind in ("record", "promote"):
            self.ever_records.add(number)
        elif kind == "proposal":
            self.ever_proposals.add(number)
        elif kind == "drop_records":
            self.records -= set(range(number + 1))
        elif kind == "run":
            self.ever_runs[number % 3] = max(number, self.ever_runs.get(number % 3, 0))
        if kind == "promote":
            self.proposals.discard(number)
        if kind == "drop_proposals":
            self.proposals -= set(range(number + 1))

    def end(self, step: tuple[str, int]) -> None:
        """The call returned: its effect must be there."""
        kind, number = step
        if kind == "snapshot":
            self.snapshots = {number}
        elif kind in ("record", "promote"):
            self.records.add(number)
        elif kind == "proposal":
            self.proposals.add(number)
        elif kind == "run":
            self.runs[number % 3] = max(number, self.runs.get(number % 3, 0))

    def check(self, loaded: Loaded) -> None:
        assert loaded.damaged == ()
        assert loaded.runs_complete
        assert (loaded.snapshot.standing.revision if loaded.snapshot else -1) in self.snapshots
        assert self.records <= {record.revision for record in loaded.records} <= self.ever_records
        assert self.proposals <= {record.revision for record in loaded.proposals} <= self.ever_proposals
        found = {int(item.follower.gateway[1:]): item.in_force for item in loaded.runs}
        assert self.runs.keys() <= found.keys() <= self.ever_runs.keys()
        assert all(self.runs.get(key, 0) <= value <= self.ever_runs[key] for key, value in found.items())
        recover(loaded)


def carry_out(disk: Disk, step: tuple[str, int]) -> None:
    kind, number = step
    if kind == "snapshot":
        disk.save_snapshot(number, TREES[number])
    elif kind == "record":
        disk.save_record(RECORDS[number - 1])
    elif kind == "proposal":
        disk.save_proposal(RECORDS[number - 1])
    elif kind == "promote":
        disk.promote(Standing(number, RECORDS[number - 1].digest))
    elif kind == "drop_records":
        disk.drop_records(number)
    elif kind == "drop_proposals":
        disk.drop_proposals(number)
    elif kind == "run":
        disk.save_runs([entry(number % 3, number)])


KINDS = ["snapshot", "record", "proposal", "promote", "drop_records", "drop_proposals", "run", "run", "run"]
STEPS = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(1, REVISIONS)), min_size=1, max_size=8)


def play(system: MemoryOs, steps: list[tuple[str, int]], retries: bool = False) -> Model:
    """Make calls until all are made or power is lost; ``retries``: a call that fails is made again."""
    model = Model()
    try:
        disk = Disk(ROOT, system)
        disk.load()
        for step in steps:
            if step[0] == "promote" and step[1] not in model.proposals:
                continue
            model.begin(step)
            try:
                carry_out(disk, step)
            except OSError:
                if not retries:
                    continue
                carry_out(disk, step)
            model.end(step)
    except (PowerLoss, OSError):
        pass
    return model


@pytest.mark.parametrize("power_loss", [False, True])
@settings(derandomize=True, deadline=None, max_examples=150)
@given(STEPS, st.integers(1, 150), st.integers(0, 2**32), st.booleans())
def test_nothing_that_was_stored_is_lost_when_a_call_fails(power_loss, steps, fail_at, seed, retries):
    system = MemoryOs()
    system.fail_at, system.power_loss = fail_at, power_loss
    model = play(system, steps, retries)
    found = system.after_power_loss(random.Random(seed))
    model.check(Disk(ROOT, found).load())


@pytest.mark.parametrize(("power_loss", "retries"), [(False, False), (False, True), (True, False)])
def test_each_single_call_fails_once(power_loss, retries, monkeypatch):
    monkeypatch.setattr(disks, "MOST_RUN_BATCHES", 2)
    steps = [("snapshot", 2), *(("run", number) for number in range(1, 5)), ("record", 3), ("proposal", 4)]
    steps += [("proposal", 5), ("promote", 4), ("drop_proposals", 4), ("snapshot", 4), ("drop_records", 3)]
    whole = MemoryOs()
    play(whole, steps)
    assert whole.calls > 60
    for fail_at in range(1, whole.calls + 1):
        for seed in range(4):
            system = MemoryOs()
            system.fail_at, system.power_loss = fail_at, power_loss
            model = play(system, steps, retries)
            loaded = Disk(ROOT, system.after_power_loss(random.Random(seed))).load()
            model.check(loaded)
