"""Trials of configuration on processes with faults between them, and the mutants that these find.

Nothing of time is asserted here: a machine with other work keeps no bound. ``python -m
brackenloft.lab.configuration.trial`` says how soon all were at the newest revision.
"""

import asyncio
import random

import msgspec
import pytest
from control import ControlFake

from brackenloft.configuration import validation
from brackenloft.configuration.builder import apply
from brackenloft.configuration.messages import Changes, SnapshotOffer
from brackenloft.configuration.model import Record, Section
from brackenloft.configuration.tree import Tree
from brackenloft.lab.configuration import changes, checkers, schedule, trial
from brackenloft.lab.configuration.checkers import Promise
from brackenloft.lab.configuration.events import InForce, RecordRead, Served, read_events
from brackenloft.lab.configuration.followers import FollowersOrder, ServerPlace
from brackenloft.lab.configuration.nemesis import Nemesis
from brackenloft.lab.configuration.schedule import Fault, Schedule
from brackenloft.lab.fleet.control import Helper
from brackenloft.lab.fleet.links import Link

GENEROUS_MS = 60_000.0  # for all to be at the newest: a machine with other work keeps no bound of time
trials = pytest.mark.trials  # processes: not beside tests that wait for times (README.md)

# ---- Schedules, changes


def test_schedules_are_drawn_again_by_seed_and_only_name_what_is_there():
    drawn = schedule.draw(5)
    assert drawn == schedule.draw(5) != schedule.draw(6)
    kinds = {fault.do for seed in range(40) for fault in schedule.draw(seed).faults}
    assert kinds == set(schedule.Kind.__args__)
    assert all(fault.ends_ms() < drawn.length_ms for fault in drawn.faults)
    for bad in ({"at_ms": 1e9, "do": "cut", "on": ["g0>c0"]}, {"at_ms": 1.0, "do": "cut", "on": ["g0>g1"]}):
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert({"faults": [bad]}, Schedule)


def test_a_failing_schedule_is_cut_down_to_fewer_faults():
    drawn = schedule.draw(5)
    assert all(len(each.faults) < len(drawn.faults) for each in schedule.smaller(drawn))
    assert any(not each.faults for each in schedule.smaller(drawn))


def test_control_servers_are_spread_over_all_regions():
    plan = Schedule()
    assert [plan.region(name) for name in plan.of_kind("c")] == [
        region for region in schedule.REGIONS for _ in range(2)
    ]


def test_changes_are_valid_or_not_as_meant_and_no_two_revisions_look_alike():
    dice = random.Random(1)
    tree, seen = Tree.empty(), set()
    for revision in range(1, 30):
        bad = changes.invalid(dice, revision - 1, f"bad{revision}")
        assert validation.faults(tree, bad)
        good = changes.change(dice, revision - 1, f"m{revision}", float(revision), 12, 4)
        assert validation.faults(tree, good) == ()
        tree = apply(tree, good)
        plans = frozenset(good.put.plans)
        assert not seen & plans
        seen |= plans


def test_the_checkers_own_content_agrees_with_the_tree():
    dice = random.Random(2)
    tree, records = Tree.empty(), {}
    for revision in range(1, 20):
        change = changes.change(dice, revision - 1, f"m{revision}", float(revision), 12, 4)
        tree = apply(tree, change)
        records[revision] = Record(revision, tree.digest, change)
    content = checkers.contents(records)[19]
    assert content.tenants == {tenant.name: tenant.plan for tenant in tree.items(Section.TENANTS)}
    assert content.plans == {plan.name: plan for plan in tree.items(Section.PLANS)}


# ---- Links


async def through_a_link(spoil, size_bytes, sent, healed=False):
    """What a client reads of an answer that comes through a link; None for what does not come."""

    async def answer(reader, writer):
        writer.write(sent)
        await writer.drain()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    link = Link(server.sockets[0].getsockname()[1])
    link.spoil_answers(spoil, size_bytes)
    way = await asyncio.start_server(link.serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", way.sockets[0].getsockname()[1])
    try:
        first = await reader.read(size_bytes) if spoil != "garble" else b""
        if spoil == "choke":
            while link.open["back"].is_set():
                await asyncio.sleep(0)
            assert not reader._buffer
            link.heal()
        try:
            rest = await reader.readexactly(len(sent) - len(first))
        except (ConnectionError, asyncio.IncompleteReadError):
            rest = None
        return first, rest
    finally:
        writer.close()
        server.close()
        way.close()


def test_a_link_holds_an_answer_back_after_some_bytes_until_it_is_healed():
    assert asyncio.run(through_a_link("choke", 5, b"0123456789")) == (b"01234", b"56789")


def test_a_link_breaks_an_answer_off_after_some_bytes():
    first, rest = asyncio.run(through_a_link("truncate", 5, b"0123456789"))
    assert rest is None and first in (b"01234", b"")


def test_a_link_changes_a_byte_of_an_answer():
    _, garbled = asyncio.run(through_a_link("garble", 0, b"0123456789"))
    assert len(garbled) == 10 and sum(a != b for a, b in zip(garbled, b"0123456789", strict=True)) == 1


# ---- Nemesis


class Recorded:
    """Processes that only note what is done to them."""

    def __init__(self):
        self.notes, self.alive = [], {}

    async def set_links(self, links, do, **more):
        self.notes.append((do, *links))

    async def stop(self, name):
        self.notes.append(("stop", name))

    async def resume(self, name):
        self.notes.append(("resume", name))

    async def kill(self, name):
        self.notes.append(("kill", name))
        self.alive[name] = 0

    async def start(self, name):
        assert not self.alive[name], "started twice"
        self.notes.append(("start", name))
        self.alive[name] = 1

    async def spoil(self, name, how):
        self.notes.append((how or "well", name))


def played(*faults):
    processes, told = Recorded(), []
    plan = Schedule(length_ms=100.0, faults=faults)
    asyncio.run(Nemesis(processes, told.append).play(plan, 0.0))
    assert len(told) == len(faults)
    return processes.notes


def test_each_fault_is_healed_and_of_two_on_one_place_the_last_heals():
    assert played(Fault(0.0, "stop", ("c0",), 5.0)) == [("stop", "c0"), ("resume", "c0")]
    assert played(Fault(0.0, "lag", ("c0",), 5.0)) == [("lag", "c0"), ("well", "c0")]
    two = played(Fault(0.0, "kill", ("c0",), 5.0), Fault(1.0, "kill", ("c0", "c1"), 60.0))
    assert two.count(("start", "c0")) == 1 and two.count(("start", "c1")) == 1
    cuts = played(Fault(0.0, "cut", ("g0>c0",), 5.0), Fault(1.0, "cut", ("g0>c0", "g0>c1"), 60.0))
    assert cuts[-2:] == [("heal",), ("heal", "g0>c0", "g0>c1")]


def test_a_process_that_was_killed_while_it_was_stopped_is_not_resumed_before_it_is_there():
    notes = played(Fault(0.0, "stop", ("c0",), 60.0), Fault(1.0, "kill", ("c0",), 5.0))
    assert notes[:3] == [("stop", "c0"), ("kill", "c0"), ("start", "c0")]


# ---- Followers and mutants of theirs, before a control server that spoils some answers


class SpoilingServer(ControlFake):
    """Offers an older snapshot now and then, as a server that is behind would, and damages a record."""

    answers = 0

    async def follow(self, request):
        answer = await super().follow(request)
        self.answers += 1
        if self.answers % 5 == 2 and request.in_force > 2:
            older = self.trees[request.in_force - 2]
            return SnapshotOffer(request.in_force - 2, older.digest, older.bucket_digests, 0.0)
        if self.answers % 5 == 4 and isinstance(answer, Changes):
            *rest, last = answer.records
            put = msgspec.structs.replace(last.delta.put, tenants=last.delta.put.tenants[1:])
            last = msgspec.structs.replace(last, delta=msgspec.structs.replace(last.delta, put=put))
            return Changes((*rest, last), 0.0)
        return answer


async def followed(folder, mutant, revisions=12, followers=3):
    """The history of hollow followers, of a mutant or not, while changes come; and the records."""
    dice, gateways = random.Random(3), [f"h0-{number}" for number in range(followers)]
    order = FollowersOrder("h0", 1, 0, "east", followers, 12, [], str(folder / "h0.jsonl"), 1000.0, mutant)
    async with SpoilingServer() as server:
        order.servers = [ServerPlace("c0", f"http://127.0.0.1:{server.port}", "east")]
        (folder / "h0.json").write_bytes(msgspec.json.encode(order))
        process = Helper("brackenloft.lab.configuration.followers")
        await process.start(str(folder / "h0.json"))
        try:
            for revision in range(1, revisions + 1):
                change = changes.change(dice, revision - 1, f"m{revision}", float(revision), 12, 4)
                await server.publish(change)
                await server.until(lambda: any(server.in_force(name) == server.revision for name in gateways))
            await server.until(lambda: all(server.in_force(name) == server.revision for name in gateways))
        finally:
            await process.end()
    told = [RecordRead(0.0, "c0", record) for record in server.records]
    return [*told, *read_events([folder / "h0.jsonl"])]


def promises(history):
    found = checkers.went_back(history) + checkers.torn(history) + checkers.not_a_chain(history)
    return {breach.promise for breach in found}


@trials
def test_followers_of_a_server_that_offers_older_and_damaged_revisions_keep_all_promises(tmp_path):
    history = asyncio.run(followed(tmp_path, ""))
    assert promises(history) == set()
    assert sum(isinstance(event, InForce) for event in history) > 12
    assert sum(isinstance(event, Served) for event in history) > 50


@trials
@pytest.mark.parametrize(
    "mutant, promise",
    [
        ("older_taken", Promise.NEVER_BACK),
        ("early_swap", Promise.WHOLE),
        ("digest_ignored", Promise.WHOLE),
    ],
)
def test_a_guard_of_the_follower_that_is_taken_out_is_found(tmp_path, mutant, promise):
    assert promise in promises(asyncio.run(followed(tmp_path, mutant)))


# ---- Control servers, gateways with traffic and followers, with faults between them

CONTROL = ("c0", "c1", "c2")


def play(plan):
    return asyncio.run(trial.play(plan, within_ms=GENEROUS_MS))


@trials
@pytest.mark.parametrize("seed", [1, 3])
def test_under_faults_by_seed_all_promises_are_kept(seed):
    verdict = play(schedule.draw(seed, trial.SMALL))
    assert verdict.breaches == [], seed
    assert verdict.counts["revisions"] > 3 and verdict.counts["told_everywhere"] > 0
    assert verdict.counts["lookups"] > 0 and verdict.counts["requests_served"] > 0


@trials
def test_a_confirmation_that_is_counted_when_sent_is_told_early():
    """Answers to one process are held back; until they come, its followers serve by the older revision."""
    links = tuple(f"h0>{server}" for server in CONTROL)
    plan = msgspec.structs.replace(
        trial.SMALL,
        length_ms=5500.0,
        publishers=1,
        publish_every_ms=400.0,
        mutant="confirmed_when_sent",
        faults=(Fault(800.0, "cut", links, 4200.0, ("back",)),),
    )
    assert Promise.TOLD_WHEN_DONE in play(plan).promises()
