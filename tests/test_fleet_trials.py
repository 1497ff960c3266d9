"""Trials on processes: schedules of faults, histories, checkers, and the mutants that these find.

Nothing of time is asserted here: a machine with other work keeps no bound. ``benchmarks.leases`` and
``python -m brackenloft.lab.fleet.trial`` say how long tasks stood still.
"""

import asyncio
import itertools
import json
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.lab.fleet import check, history, schedule, trial
from brackenloft.lab.fleet.check import CUT_MS, Op
from brackenloft.lab.fleet.schedule import Schedule

trials = pytest.mark.trials  # fleets of processes: not beside tests that wait for times (README.md)
SHELF = Path(schedule.__file__).parent / "shelf"
NEVER = ("two_holders", "stale_effects", "not_linearizable")


def play(plan):
    return asyncio.run(trial.play(plan))


def shelf(name, **changes):
    return msgspec.structs.replace(schedule.load(SHELF / f"{name}.toml"), **changes)


@trials
@pytest.mark.parametrize("seed", [1, 7])
def test_under_faults_by_seed_no_two_act_nothing_stale_is_taken_and_registers_line_up(seed):
    verdict = play(schedule.draw(seed, Schedule(length_ms=6000.0)))
    assert not any(verdict.counts[name] for name in NEVER), (seed, verdict.broken)
    assert verdict.counts["acts"] > 0 and verdict.counts["effects"] > 0 and verdict.counts["ops"] > 0


@trials
@pytest.mark.parametrize("name", ["blank_store", "all_restarted", "poison", "real_tasks"])
def test_hard_cases_by_hand(name):
    verdict = play(shelf(name))
    assert not any(verdict.counts[kind] for kind in NEVER), verdict.broken
    if name == "poison":
        assert not any(line.startswith("t0: killed") for line in verdict.broken), verdict.broken
    elif name == "real_tasks":
        assert verdict.counts["swept"] >= 3 and verdict.counts["sweepers"] >= 2  # the killed ones, by two
    else:
        assert verdict.counts["holders"] > 3  # each was done by another one after a fault


@trials
def test_a_holder_of_every_task_whose_clock_runs_slow_finds_out_and_holds_nothing(tmp_path):
    plan = Schedule(gateways=1, tasks=1, clerks=0, length_ms=7000.0, rates=(0.95,), steps=10)
    asyncio.run(trial.Trial(plan, tmp_path).play())
    told = (tmp_path / "gateway-0.log").read_text()
    assert "task handed on" in told and "its clock runs slow" in told


@trials
@pytest.mark.parametrize(
    "mutant, name, kind",
    [("no_check", "stopped_holder", "two_holders"), ("token_not_compared", "late_effects", "stale_effects")],
)
def test_a_guard_that_is_taken_out_of_the_processes_is_found(mutant, name, kind):
    plan = shelf(name, mutant=mutant)
    assert any(play(plan).counts[kind] for _ in range(3)), mutant  # a stop may fall between acts


# ---- The checkers themselves


def acts(task, who, token, *moments, run=1):
    row = {"kind": "acts", "task": task, "who": who, "token": token, "run": run}
    return [row | {"at": at} for at in moments]


def test_who_acts_while_another_does_is_found_and_who_follows_is_not():
    one, other = acts("t", "a", 1, 0.0, 10.0, 20.0), acts("t", "b", 2, 20.5, 30.0)
    assert check.holders([*one, *other]) == []
    assert len(check.holders([*one, *acts("t", "b", 2, 15.0, 30.0)])) == 1
    assert check.holders([*one, *acts("u", "b", 2, 15.0, 30.0)]) == []
    nested = [*acts("t", "a", 1, 0.0, 100.0), *acts("t", "b", 2, 10.0, 11.0), *acts("t", "c", 3, 50.0, 51.0)]
    assert len(check.holders(nested)) == 2


def test_an_effect_with_a_smaller_token_is_found_at_its_place():
    rows = [("p", 1), ("q", 9), ("p", 2), ("p", 2), ("q", 8), ("p", 1)]
    events = [
        {"kind": "effect", "at": at, "place": place, "token": token} for at, (place, token) in enumerate(rows)
    ]
    assert [line.partition(":")[0] for line in check.tokens(events)] == ["q", "p"]


def test_a_task_that_nobody_does_is_found_within_what_was_promised():
    events = acts("t", "a", 1, 0.0, 100.0, 900.0)
    assert check.goes_on(events, [(0.0, 1000.0)], ["t"], 800.0) == []
    assert len(check.goes_on(events, [(0.0, 1000.0)], ["t"], 700.0)) == 1
    assert check.goes_on(events, [(0.0, 500.0)], ["t"], 700.0) == []


OPS = st.lists(
    st.builds(
        lambda begin, long, kind, version, data, took: Op(
            begin,
            CUT_MS if took is None and kind == "cas" else begin + long,
            kind,
            version,
            data,
            True if kind == "read" else took,
        ),
        st.integers(0, 12),
        st.integers(1, 8),
        st.sampled_from(["read", "cas"]),
        st.integers(0, 2),
        st.sampled_from(["", "a", "b"]),
        st.sampled_from([True, True, False, None]),
    ),
    max_size=5,
)


def by_hand(ops):
    """Every order of every choice of those that may not have been done."""
    maybe = [op for op in ops if op.end == CUT_MS]
    sure = [op for op in ops if op.end < CUT_MS]
    for size in range(len(maybe) + 1):
        for some in itertools.combinations(maybe, size):
            for rows in itertools.permutations([*sure, *some]):
                pairs = itertools.combinations(rows, 2)
                if any(later.end < earlier.begin for earlier, later in pairs):
                    continue
                state = (0, "")
                for op in rows:
                    state = check.after(state, op) if state is not None else None
                if state is not None:
                    return True
    return False


@pytest.mark.trials
@settings(max_examples=400)
@given(OPS)
def test_the_search_for_an_order_agrees_with_trying_them_all(ops):
    assert check.one_order(ops) == by_hand(ops)


def test_schedules_are_played_again_by_seed_and_cut_down_to_what_fails(tmp_path):
    plan = schedule.draw(5)
    assert plan == schedule.draw(5) != schedule.draw(6)
    smaller = list(schedule.smaller(plan))
    assert all(len(each.faults) < len(plan.faults) or each.length_ms < plan.length_ms for each in smaller)
    assert any(not each.faults for each in smaller)
    for path in SHELF.glob("*.toml"):
        assert schedule.load(path).name == path.stem
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert({"faults": [{"at_ms": 1e9, "do": "cut", "on": ["0>s0"]}]}, Schedule)


def test_a_history_that_was_cut_by_a_kill_is_read_to_its_last_whole_line(tmp_path):
    writer = history.Writer(tmp_path / "h.jsonl")
    writer.write("acts", 5.0, task="t")
    writer.write("acts", 3.0, task="t")
    writer.close()
    with open(tmp_path / "h.jsonl", "ab") as file:
        file.write(b'{"at": 1')
    assert [event["at"] for event in history.read([tmp_path / "h.jsonl"])] == [3.0, 5.0]


def test_nothing_is_promised_where_two_stores_are_in_trouble_or_all_gateways():
    plan = Schedule(length_ms=10_000.0)
    assert schedule.promised(plan) == [(0.0, 10_000.0)] * plan.gateways
    two = msgspec.structs.replace(
        plan,
        faults=(
            schedule.Fault(1000.0, "stop", ("s0",), 1000.0),
            schedule.Fault(1500.0, "kill", ("s1",), 100.0),
        ),
    )
    assert schedule.promised(two) == [(2000.0 + schedule.AGAIN_MS, 10_000.0)]
    one = msgspec.structs.replace(plan, gateways=1, faults=(schedule.Fault(1000.0, "stop", ("0",), 500.0),))
    assert schedule.promised(one) == [(0.0, 1000.0), (1500.0 + schedule.AGAIN_MS, 10_000.0)]


@trials
def test_the_benchmark_runs_in_small():
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.leases", "--smoke"],
        cwd=Path(__file__).parent.parent,
        capture_output=True,
        text=True,
        check=True,
    )
    shown = json.loads(done.stdout.splitlines()[-1])
    assert all(shown[name] == 0 for name in NEVER) and shown["mutants_found"] >= 4
    assert shown["takeover_s_p99_over_lease"] > 0.0 and shown["plain_lease_two_holders"] > 0
