"""Registers: what slots, rounds and members promise, and three stores on loopback that fail."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from fakes import run, until
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.fleet.registers import enrol, model
from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.marks import Marks
from brackenloft.fleet.registers.members import Member, Members, Running
from brackenloft.fleet.registers.model import (
    EMPTY,
    Accept,
    Ballot,
    Held,
    NonsenseError,
    Prepare,
    Refused,
    Slot,
    Why,
)
from brackenloft.fleet.registers.registers import NoMajority, Registers, known_members
from brackenloft.fleet.registers.rounds import End, Round, settled
from brackenloft.fleet.registers.store import Store
from brackenloft.lab.fleet import explore
from brackenloft.lab.fleet.explore import Guards
from brackenloft.standins.counter import Counter, Mood

STORES = tuple(Member(f"s{number}", f"s{number}-a") for number in range(3))
MEMBERS = Members(1, 0, STORES)
BALLOTS = st.builds(Ballot, st.integers(1, 50), st.sampled_from(["a", "b.1", "c-2"]))
HELD = st.none() | st.builds(
    Held, st.integers(1, 99), st.sampled_from(["a.1", "b-2"]), st.binary(max_size=40)
)


@given(BALLOTS, BALLOTS, HELD)
def test_a_slot_is_read_as_it_was_written(one, other, held):
    slot = Slot(max(one, other), min(one, other) if held else model.NONE, held)
    assert model.read(model.write(slot)) == slot


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"x",
        b"1 1 a 2 b 0 -\n",
        b"2 1 a 1 a 0 -\n",
        b"1 1 a 1 a 1 -\nx",
        b"1 1 a 1 a 0 -\nx",
        b"1 1 a 0 - 0 -\n" + b"x" * model.MOST_SLOT,
        b"1 1 \xff 0 - 0 -\n",
    ],
)
def test_what_no_gateway_writes_is_no_slot(text):
    with pytest.raises(NonsenseError):
        model.read(text)


@given(st.lists(st.tuples(st.booleans(), BALLOTS), max_size=12))
def test_a_store_never_goes_back(asks):
    slot = EMPTY
    for prepares, ballot in asks:
        ask = Prepare(ballot) if prepares else Accept(ballot, Held(1, "a.1", b"x"), ballot)
        after, reply = model.answer(slot, ask)
        assert (after is None) == isinstance(reply, Refused)
        if after is not None:
            assert after.promised >= slot.promised and after.accepted >= slot.accepted
            slot = after


@settings(max_examples=60)
@given(st.integers(0, 1 << 30))
def test_no_change_that_was_chosen_is_lost_whatever_the_order_and_the_losses(seed):
    """Rounds of several leaders, one question at a time, some of them or their answers lost."""
    dice, slots = random.Random(seed), {member: EMPTY for member in STORES}
    chosen: list[Held] = []
    rounds: list[Round] = []
    for number in range(6):

        def append(held, number=number):
            return (held.data if held else b"") + bytes([number])

        rounds.append(Round(MEMBERS, Ballot(dice.randint(1, 6), f"g{number}"), f"g{number}", append))
    asked = {number: set() for number in range(6)}
    for _ in range(200):
        number = dice.randrange(6)
        step, kind = rounds[number], type(rounds[number].ask)
        open_ = [member for member in STORES if (kind, member) not in asked[number]]
        if step.result or not open_:
            continue
        member = dice.choice(open_)
        asked[number].add((kind, member))
        luck, reply = dice.random(), None
        if luck > 0.15:
            after, reply = model.answer(slots[member], step.ask)
            slots[member] = after or slots[member]
        step.heard(member, reply if luck > 0.3 else None)
        if step.result and step.result.end is End.CHOSEN:
            chosen.append(step.result.held)
    chosen.sort(key=lambda held: held.version)
    for before, after in zip(chosen, chosen[1:], strict=False):
        assert after.data.startswith(before.data) and (before.version < after.version or before == after)
    known, held = settled(MEMBERS, slots)
    if known and chosen:
        assert held.data.startswith(chosen[-1].data)


def test_a_value_on_its_way_to_the_last_store_is_not_called_refused():
    step = Round(MEMBERS, Ballot(1, "a"), "a.1", lambda held: b"x")
    for member in STORES[:2]:
        step.heard(member, model.Promise(EMPTY))
    for member in STORES[:2]:
        step.heard(member, Refused(Ballot(9, "b")))
    assert step.result is None  # the third has been asked too
    step.heard(STORES[2], None)
    assert step.result.end is End.UNSURE


def test_what_a_leader_remembers_answers_no_read():
    step = Round(MEMBERS, Ballot(1, "a"), "a.1", lambda held: b"x")
    for member in STORES[:2]:
        step.heard(member, model.Promise(EMPTY))
    for member in STORES[:2]:
        step.heard(member, model.Accepted())
    lead = step.result.lead
    assert isinstance(Round(MEMBERS, Ballot(2, "a"), "a.2", lambda held: b"y", lead).ask, Accept)
    assert isinstance(Round(MEMBERS, Ballot(2, "a"), "a.2", lambda held: None, lead).ask, Prepare)


@given(st.integers(3, 5), st.integers(0, 4), st.data())
def test_who_decides_while_members_change_meets_who_decided_before_and_who_will_after(size, place, data):
    old = places.first([f"s{number}" for number in range(size)], 0, "a")
    leaves = f"s{place % size}"
    both = places.joining(old, leaves, data.draw(st.sampled_from([leaves, "new"])), "b")
    new = places.joined(both)
    some = data.draw(st.sets(st.sampled_from(both.all())))
    if both.enough(some):
        for group in (old, new):
            for mask in range(1 << len(group.stores)):
                others = [m for at, m in enumerate(group.stores) if mask >> at & 1]
                assert not group.enough(others) or some & set(others)
    assert places.read(places.write(both)) == both
    with pytest.raises(ValueError):
        places.joining(both, leaves, "x", "c")


def test_a_store_that_is_not_the_process_that_was_enrolled_has_no_vote():
    member, running = STORES[0], Running("r1", "d1")
    own, known = places.write_self(member, running), places.write(MEMBERS)
    judged = [
        places.judge(member, *rest, MEMBERS)[0]
        for rest in (
            (running, own, known),
            (Running("r2", "d1"), own, known),
            (Running("r1", "d2"), own, known),
            (running, None, known),
            (running, own, None),
            (running, b"x", known),
            (running, own, b"{}"),
            (running, places.write_self(STORES[1], running), known),
            (None, own, known),
            (running, own, places.write(Members(2, 0, STORES))),
        )
    ]
    assert judged == [
        None,
        Why.RESTARTED,
        Why.RESTARTED,
        Why.BLANK,
        Why.BLANK,
        Why.NONSENSE,
        Why.NONSENSE,
        Why.FOREIGN,
        None,
        Why.NEWER,
    ]
    marks = Marks()
    assert marks.seen(member, "x", Slot(Ballot(5, "a")))
    assert not marks.seen(member, "x", Slot(Ballot(4, "a")))
    assert not marks.seen(member, "x", Slot(Ballot(9, "a")))  # what it lost once it may lack still


@pytest.mark.trials
@pytest.mark.parametrize("mutant", sorted(explore.PLACES))
def test_the_search_finds_a_guard_that_is_taken_out_and_nothing_else(mutant):
    gateways, budget, depth, begin = explore.PLACES[mutant]
    assert explore.run(gateways, Guards(**{mutant: True}), budget, depth, 60_000, begin)[1]
    states, path = explore.run(gateways, Guards(), budget, depth, 15_000, begin)
    assert not path and states > 300


# ---- On loopback


class Rig:
    """Stores, and processes' views of them."""

    def __init__(self, counters, extra):
        self.counters, self.extra, self.open = counters, extra, []

    def registers(self, who):
        stores = {
            f"s{number}": Store(f"redis://127.0.0.1:{counter.port}", "fleet", 0.4)
            for number, counter in enumerate([*self.counters, *self.extra])
        }
        made = Registers(stores, places.first(["s0", "s1", "s2"], 1000, "a"), who, seed=1)
        self.open.append(made)
        return made


@asynccontextmanager
async def rig(extra=0):
    counters = [await Counter().start() for _ in range(3)]
    made = Rig(counters, [await Counter().start() for _ in range(extra)])
    operator = made.registers("operator")
    await enrol.found(operator, operator.members)
    try:
        yield made, operator
    finally:
        for each in made.open:
            await each.close()
        for counter in (*counters, *made.extra):
            counter.kill()


def plus_one(held):
    return str(int(held.data) + 1 if held else 1).encode()


def test_changes_of_two_at_once_are_all_made_with_one_store_gone():
    async def test():
        async with rig() as (made, _):
            made.counters[1].kill()
            one, other = made.registers("g0.a"), made.registers("g1.b")
            both = [one, other] * 20
            await asyncio.gather(*(each.change("x", plus_one, 20.0) for each in both))
            assert (await other.read("x", 5.0)).data == b"40"
            made.counters[0].kill()
            with pytest.raises(NoMajority):
                await one.read("x", 0.3)
            assert await one.look(["x"], 0.3) == {}

    run(test())


@pytest.mark.parametrize(
    "mood", [Mood.READONLY, Mood.LOADING, Mood.NOAUTH, Mood.MOVED, Mood.GARBLED, Mood.HUGE, Mood.SILENT]
)
def test_a_store_in_a_bad_mood_has_no_vote_and_does_no_harm(mood):
    async def test():
        async with rig() as (made, _):
            one = made.registers("g0.a")
            await one.change("x", plus_one, 5.0)
            made.counters[2].store.mood = mood
            await one.change("x", plus_one, 5.0)
            assert (await one.read("x", 5.0)).data == b"2"
            counts = one.stores["s2"].counts
            await until(lambda: counts["silent"] or counts[Why.ERROR.value] or counts[Why.NONSENSE.value])
            made.counters[0].kill()
            with pytest.raises(NoMajority):
                await one.read("x", 0.3)
            made.counters[2].store.mood = Mood.WELL

    run(test())


@pytest.mark.parametrize("harm", ["blank process", "emptied", "back"])
def test_a_store_that_forgot_is_kept_out_until_it_is_taken_back(harm):
    async def test():
        async with rig() as (made, operator):
            one, counter = made.registers("g0.a"), made.counters[0]
            await one.change("x", plus_one, 5.0)
            saved = counter.store.snapshot()
            await one.change("x", plus_one, 5.0)
            if harm == "blank process":
                counter.kill()
                made.counters[0] = fresh = Counter()
                fresh.port = counter.port
                await fresh.start()
            elif harm == "emptied":
                counter.store.wipe()
            else:
                counter.store.restore(saved)
            await one.change("x", plus_one, 5.0)
            made.counters[1].kill()
            with pytest.raises(NoMajority):  # the one that forgot and one that knows are no majority
                await one.read("x", 0.5)
            await made.counters[1].start()
            await one.stores["s1"].close()
            await enrol.replace(operator, "s0", "s0", "b", 5.0)
            made.counters[2].kill()
            for _ in range(20):  # a line to a store that was gone is tried again after its pause
                try:
                    done = await one.change("x", plus_one, 2.0)
                    break
                except NoMajority:
                    await asyncio.sleep(0.1)
            assert done.held.data == b"4" and one.members.epoch == 3

    run(test())


def test_two_stores_replaced_one_after_the_other_and_who_was_cut_off_meanwhile_finds_the_fifth_epoch():
    async def test():
        async with rig(extra=2) as (made, operator):
            cut = made.registers("g1.b")
            await cut.change("x", plus_one, 5.0)
            one = made.registers("g0.a")
            await one.change("x", plus_one, 5.0)
            told = []
            for leaves, comes in (("s0", "s3"), ("s1", "s4")):
                await enrol.replace(operator, leaves, comes, "b", 5.0, told.append)
            made.counters[0].kill()
            made.counters[1].kill()
            assert (await one.change("x", plus_one, 5.0)).held.data == b"3"
            assert (await cut.change("x", plus_one, 5.0)).held.data == b"4"
            assert cut.members.epoch == 5 and len(told) == 6
            assert (await known_members(cut.stores)).epoch == 5

    run(test())


@pytest.mark.parametrize("after", ["decided", "told", "settled"])
def test_a_replacement_that_is_cut_short_goes_on_where_it_stopped(after):
    """The command is given again after each of its steps was done and the next one was not."""

    async def test():
        async with rig(extra=1) as (made, operator):
            one = made.registers("g0.a")
            await one.change("x", plus_one, 5.0)
            both = places.joining(operator.members, "s0", "s3", "b")
            await operator.change(model.MEMBERS, lambda held: places.write(both), 5.0)
            if after != "decided":
                for store in operator.stores.values():
                    own, _, _ = await store.own()
                    await store.enrol(both.stores[0], both, fresh=own is None)
            if after == "settled":
                operator.adopt(both)
                await operator.change("x", lambda held: None, 5.0)
            other = made.registers("operator.2")
            if after != "decided":
                other.adopt(await known_members(other.stores))
            alone = await enrol.replace(other, "s0", "s3", "c", 5.0)
            assert [member.name for member in alone.stores] == ["s3", "s1", "s2"] and alone.epoch == 3
            made.counters[0].kill()
            assert (await one.change("x", plus_one, 5.0)).held.data == b"2"

    run(test())


def test_a_vote_is_not_taken_from_a_store_that_the_others_need():
    async def test():
        async with rig() as (made, operator):
            one = made.registers("g0.a")
            await one.change("x", plus_one, 5.0)
            made.counters[2].kill()
            with pytest.raises((enrol.EnrolError, NoMajority)):
                await enrol.replace(operator, "s0", "s0", "b", 1.0)
            assert made.counters[0].store.values[b"fleet:r:x"]  # nothing of it was left behind
            await made.counters[2].start()
            await asyncio.sleep(1.1)  # its pause
            await enrol.replace(operator, "s0", "s0", "c", 5.0)
            assert (await one.change("x", plus_one, 5.0)).held.data == b"2"

    run(test())
