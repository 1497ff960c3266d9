"""Tasks: who does what, who follows, what is handed on; sweeping, runs and their checkpoints."""

import asyncio
import json

import pytest
from fakes import run
from hypothesis import given
from hypothesis import strategies as st
from leasing import ME, OTHER, Clock, fleet

from brackenloft.fleet.leases import model
from brackenloft.fleet.leases.fence import StaleToken
from brackenloft.fleet.leases.model import ANYBODY, Me
from brackenloft.fleet.leases.terms import Terms, View
from brackenloft.fleet.tasks.core import MOST_FAILURES, RENEW, SETTLED, STEP, Book, Do, Order, Spec
from brackenloft.fleet.tasks.runner import Runner
from brackenloft.fleet.tasks.spread import STANDBYS, order, ranks
from brackenloft.fleet.tasks.sweep import Ages, Standing, Sweep, fields_of
from brackenloft.lab.fleet.virtual import Fleet, Plan, figures
from brackenloft.quota.client import Where
from brackenloft.standins.counter import Counter


def test_one_gateway_that_is_lost_moves_only_its_own_tasks():
    names = [f"task-{number}" for number in range(60)]
    first = {name: order(name, 20)[0] for name in names}
    for lost in range(3):
        for name in names:
            left = [index for index in order(name, 20) if index != lost]
            assert (left[0] == first[name]) or first[name] == lost
    assert len(set(first.values())) > 10
    assert ranks(names, 20, first[names[0]])[names[0]] == 0 and STANDBYS in ranks(names, 20, 0).values()


def book(index=0, rank=0, gateways=10, **more):
    view = View()
    made = Book.of(
        Me(f"{index}-x", index),
        Terms(1000.0, 0.01),
        [Spec("t", **more)],
        {"t": rank},
        {"t": view}.__getitem__,
        gateways,
    )
    return made, view


def test_who_is_first_takes_at_once_and_each_after_it_a_step_later():
    for rank in range(STANDBYS):
        made, view = book(rank=rank)
        assert made.step(0.0, True) == [Order(Do.LOOK, "t")]
        view.saw(0, None, 5.0)
        made.looked("t", 5.0)
        due = made.next_at(6.0)
        if rank:
            assert made.step(6.0, True) == [] and due == pytest.approx(5.0 + STEP * rank * 1000.0)
            assert made.step(due, True)[0].do in (Do.LOOK, Do.TAKE)
        else:
            assert made.step(6.0, True) == [Order(Do.TAKE, "t")]


def test_who_stands_far_behind_looks_seldom_and_takes_what_all_others_left():
    made, view = book(index=5, rank=STANDBYS)
    assert made.step(0.0, True) == []  # its place among the others: no crowd at the start
    held = model.take(None, OTHER, 1000.0, 0)
    at, looks = 0.0, 0
    while at < 20_000.0:
        for found in made.step(at, True):
            assert found.do is Do.LOOK
            looks += 1
            view.saw(1 + looks, held := model.beats(held), at)
            made.looked("t", at)
        at += 10.0
    assert 3 <= looks <= 6
    while not (orders := made.step(at, True)):
        at += 10.0
    view.saw(view.version, held, at)
    made.looked("t", at)
    assert orders[0].do is Do.LOOK and made.step(at, True) == [Order(Do.TAKE, "t")]


def test_who_is_not_fit_takes_nothing_and_hands_on_what_it_has_after_its_run():
    made, view = book()
    view.saw(0, None, 0.0)
    made.looked("t", 0.0)
    assert made.step(1.0, False) == []
    made.took("t", 7, 2.0)
    assert made.step(2.0, True) == [Order(Do.RUN, "t")]
    made.entries["t"].running = True
    assert made.step(3.0, False) == []
    assert made.step(RENEW * 1000.0 + 3.0, False) == [Order(Do.RENEW, "t")]
    made.ended("t", True, 500.0)
    assert made.step(501.0, False) == [Order(Do.RELEASE, "t")]


def test_a_better_one_that_is_back_asks_and_is_handed_the_task():
    made, view = book(index=3, rank=0)
    held = model.take(None, OTHER, 1000.0, 0)
    asked = []
    for step in range(60):
        now = 100.0 * step
        for found in made.step(now, True):
            if found.do is Do.LOOK:
                view.saw(step + 1, held := model.beats(held), now)
                made.looked("t", now)
            asked += [now] if found.do is Do.WANT else []
    assert asked and asked[0] >= SETTLED * 1000.0 and len(asked) <= 2
    wanted = model.want(held, made.me)
    holder, seen = book(index=1, rank=1)
    holder.took("t", held.token, 0.0)
    seen.saw(9, wanted, 0.0)
    assert holder.step(1.0, True) == [Order(Do.RELEASE, "t", 3)]


def test_runs_that_fail_come_later_and_later_and_then_elsewhere():
    made, _ = book(every_ms=100.0)
    made.took("t", 1, 0.0)
    waits, now = [], 0.0
    for _ in range(MOST_FAILURES):
        assert made.step(now, True)[0].do is Do.RUN
        made.ended("t", False, now)
        waits.append(made.entries["t"].runs_at - now)
        now = made.entries["t"].runs_at
    assert waits == [200.0, 400.0, 800.0] and made.step(now, True) == [Order(Do.RELEASE, "t")]


@pytest.mark.trials
@pytest.mark.parametrize("seed", range(6))
def test_in_virtual_time_no_two_hold_and_all_tasks_go_on(seed):
    plan = Plan(
        gateways=12,
        tasks=4,
        length_ms=1000.0,
        every_ms=300.0,
        seconds=25.0,
        lost=0.03,
        cut=0.03,
        stopped=0.03,
    )
    shown = figures(Fleet(plan, seed).run())
    assert shown["two_holders"] == 0 and shown["taken"] >= 4


@pytest.mark.trials
def test_in_virtual_time_a_guard_that_is_too_short_is_found():
    plan = Plan(
        gateways=12,
        tasks=4,
        length_ms=1000.0,
        every_ms=300.0,
        seconds=25.0,
        lost=0.03,
        cut=0.03,
        stopped=0.03,
        short_guard=True,
    )
    assert sum(figures(Fleet(plan, seed).run())["two_holders"] for seed in range(3)) > 0


# ---- Sweeping


@given(
    st.lists(st.dictionaries(st.sampled_from(["0.a", "1.b", "2.c"]), st.integers(0, 5)), max_size=12),
    st.integers(0, 11),
)
def test_who_stands_still_is_told_by_its_beat_also_over_a_change_of_holders(beats, change):
    ages = Ages(300.0)
    for at, seen in enumerate(beats):
        now = 100.0 * at
        if at == change:
            ages = Ages.of(300.0, ages.standing(0), now)
        ages.saw(seen, now)
        for name in ages.ended():
            still = [row.get(name) for row in beats[max(0, at - 3) : at + 1]]
            assert len(set(still)) == 1 and still[0] is not None
    assert len(Ages.of(1.0, Standing(), 0.0).ended()) == 0


def test_fields_of_runs_that_ended_are_told_apart():
    assert fields_of({b"0.a": b"1:1", b"1.b": b"2:2", b"\xff": b""}, frozenset({"1.b"})) == [b"1.b"]


# ---- On loopback


class Recorder:
    """A job that says what it was given."""

    def __init__(self, fails=0):
        self.seen, self.fails, self.done = [], fails, asyncio.Event()

    async def close(self):
        self.seen.append("closed")

    async def run(self, run):
        run.act.check()
        self.seen.append((run.act.token, run.checkpoint))
        if len(self.seen) <= self.fails:
            raise ValueError("as the test wants")
        await run.save(f"run {len(self.seen)}")
        if len(self.seen) >= 3:
            self.done.set()


def test_runs_go_on_from_their_checkpoint_and_the_next_holder_too():
    async def test():
        async with fleet(ME, OTHER) as (both, clock, _):
            jobs, runners = [], []
            for leases in both:
                job, specs, rank = Recorder(), [Spec("t", every_ms=0.0)], {"t": leases.me.index}
                made = Book.of(leases.me, leases.terms, specs, rank, leases.views, 2)
                jobs.append(job)
                runners.append(Runner(leases, made, {"t": job}, lambda: ""))
            runners[0].start()
            await jobs[0].done.wait()
            await runners[0].close()
            assert jobs[0].seen[:3] == [(1001, ""), (1001, "run 1"), (1001, "run 2")]
            runners[1].start()
            while not jobs[1].done.is_set():
                clock.ms += 100.0  # it leaves the task to the first for a while
                await asyncio.sleep(0.005)
            await runners[1].close()
            token, checkpoint = jobs[1].seen[0]
            assert token == 1002 and checkpoint.startswith("run ")
            assert json.dumps(runners[1].figures())

    run(test())


def test_a_run_that_fails_takes_nothing_along():
    async def test():
        async with fleet(ME) as ((mine,), _, _):
            bad, good = Recorder(fails=99), Recorder()
            specs = [Spec("bad", every_ms=0.0), Spec("good", every_ms=0.0)]
            made = Book.of(ME, mine.terms, specs, {"bad": 0, "good": 0}, mine.views, 1)
            runner = Runner(mine, made, {"bad": bad, "good": good}, lambda: "").start()
            await good.done.wait()
            assert runner.counts["failed runs"] >= 1 and mine.views("bad").lease.failures >= 1
            await runner.close()
            assert mine.views("good").lease.next == ANYBODY

    run(test())


def test_sweeping_takes_out_what_ended_alone_and_stops_before_a_larger_token():
    async def test():
        async with fleet(ME) as ((mine,), _, _):
            counter, clock = await Counter().start(), Clock()
            store = counter.store
            for run_ in ("0.a", "1.b"):
                store.run([b"HSET", b"quota:gateways", run_.encode(), b"5"])
                for customer in range(3):
                    store.run([b"HSET", b"quota:c:p:%d" % customer, run_.encode(), b"1000:1000"])
            sweep = Sweep(Where(f"redis://127.0.0.1:{counter.port}"), 300.0, clock)
            await mine.look(["t"])
            held = await mine.take("t")

            class Given:
                checkpoint = ""

                async def save(self, checkpoint):
                    self.checkpoint = checkpoint

            given_ = Given()
            async with held.act() as given_.act:
                for step in range(5):
                    clock.ms += 100.0
                    store.run([b"HSET", b"quota:gateways", b"1.b", b"%d" % (6 + step)])
                    await sweep.run(given_)
                assert store.values[b"quota:gateways"] == {b"1.b": b"10"} and sweep.taken_out == 4
                assert all(set(store.values[b"quota:c:p:%d" % n]) == {b"1.b"} for n in range(3))
                store.run([b"SET", b"quota:sweep", b"999999"])
                clock.ms += 1000.0
                with pytest.raises(StaleToken):
                    await sweep.run(given_)
            assert store.values[b"quota:gateways"] == {b"1.b": b"10"}
            await sweep.close()
            counter.kill()

    run(test())
