"""What is in force where: merging servers' words, and never told too early in any interleaving."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.configuration import roster
from brackenloft.configuration.messages import Confirmation, Follower, ServerStatus
from brackenloft.configuration.roster import (
    GONE_AFTER_MS,
    KEPT_MS,
    RegionProgress,
    Roster,
    RosterFullError,
    View,
    enough_servers,
    progress,
)

SERVERS, COPIES = 6, 4
FOLLOWERS = st.builds(
    Follower,
    st.sampled_from(["g1", "g2", "g3"]),
    st.sampled_from(["r1", "r2"]),
    st.integers(1, 3),
    st.sampled_from(["north", "south"]),
    st.sampled_from(["n1", "s1"]),
)
CONFIRMATIONS = st.builds(
    Confirmation, FOLLOWERS, st.integers(0, 9), st.floats(0.0, 300_000.0), st.booleans()
)
STATUSES = st.builds(
    ServerStatus,
    st.sampled_from(["a", "b", "c", "d"]),
    st.just("north"),
    st.integers(0, 9),
    st.just(0.0),
    st.lists(CONFIRMATIONS, max_size=6).map(tuple),
    st.booleans(),
)
VIEWS = st.lists(STATUSES, max_size=4).map(View.of_all)


def follower(gateway, run="r1", incarnation=1, region="north"):
    return Follower(gateway, run, incarnation, region)


def status(server, standing, *confirmations, complete=True):
    return ServerStatus(server, "north", standing, 0.0, confirmations, complete)


# ---- Merging


@given(VIEWS, VIEWS, VIEWS)
def test_merging_is_commutative_associative_and_idempotent(one, two, three):
    assert one.merge(two) == two.merge(one)
    assert one.merge(two).merge(three) == one.merge(two.merge(three))
    assert one.merge(one) == one
    assert View().merge(one) == one


@given(VIEWS, VIEWS)
def test_merging_loses_nothing(one, two):
    both = one.merge(two)
    assert both.standing == max(one.standing, two.standing)
    for key, run in one.runs.items():
        assert both.runs[key].in_force >= run.in_force
        assert both.runs[key].silent_ms <= run.silent_ms
        assert both.runs[key].left >= run.left


@given(VIEWS, STATUSES, st.integers(0, 9))
def test_what_a_further_server_knows_never_takes_a_confirmation_back(view, further, revision):
    before = {roster.key_of(run.follower) for run in view.runs.values() if run.in_force >= revision}
    after = view.merge(View.of(further))
    assert all(after.runs[key].in_force >= revision for key in before)


@given(st.lists(st.tuples(FOLLOWERS, st.integers(0, 9)), max_size=20))
def test_a_roster_keeps_the_largest_whatever_the_order(words):
    forth, back = Roster(), Roster()
    for each, in_force in words:
        forth.confirm(each, in_force, 0.0)
    for each, in_force in reversed(words):
        back.confirm(each, in_force, 0.0)
    assert {key: run.in_force for key, run in forth.runs.items()} == {
        key: run.in_force for key, run in back.runs.items()
    }


# ---- Judging


def everywhere(statuses, revision):
    return progress(View.of_all(statuses), revision, SERVERS, COPIES)


def test_n_of_m_by_region_and_everywhere():
    runs = (
        Confirmation(follower("g1"), 5, 10.0),
        Confirmation(follower("g2"), 4, 10.0),
        Confirmation(follower("g3", region="south"), 6, 10.0),
    )
    told = everywhere([status(name, 5, *runs) for name in "abc"], 5)
    assert told.regions == (RegionProgress("north", 1, 2), RegionProgress("south", 1, 1))
    assert told.published and not told.everywhere and told.behind == (runs[1],) and not told.cut_off
    later = (runs[0], Confirmation(follower("g2"), 5, 0.0), runs[2])
    assert everywhere([status("a", 5, *later), *(status(name, 5, *runs) for name in "bc")], 5).everywhere


def test_too_few_servers_never_say_everywhere():
    run = Confirmation(follower("g1"), 5, 10.0)
    assert enough_servers(SERVERS, COPIES) == 3
    assert not everywhere([status("a", 5, run), status("b", 5, run)], 5).everywhere
    twice = [status("a", 5, run), status("a", 5, run), status("b", 5, run)]
    assert not everywhere(twice, 5).everywhere


def test_a_server_without_its_disk_or_behind_does_not_count():
    run = Confirmation(follower("g1"), 5, 10.0)
    two = [status("a", 5, run), status("b", 5, run)]
    assert not everywhere([*two, status("c", 5, run, complete=False)], 5).everywhere
    assert not everywhere([*two, status("c", 4, run)], 5).everywhere
    assert everywhere([*two, status("c", 6, run)], 5).everywhere


def test_a_silent_run_is_cut_off_and_never_done():
    silent = Confirmation(follower("g1"), 4, 10 * GONE_AFTER_MS)
    told = everywhere([status(name, 5, silent) for name in "abcdef"], 5)
    assert told.cut_off == (silent,) and not told.everywhere
    assert everywhere([status(name, 5, silent) for name in "abcdef"], 4).everywhere


def test_a_run_is_gone_when_it_left_or_was_replaced_and_is_silent():
    successor = Confirmation(follower("g1", "r2", 2), 5, 0.0)
    old = follower("g1")
    for confirmation, is_gone in [
        (Confirmation(old, 4, 0.0, left=True), True),
        (Confirmation(old, 4, GONE_AFTER_MS), False),
        (Confirmation(old, 4, GONE_AFTER_MS + 1.0), True),
    ]:
        told = everywhere([status(name, 5, confirmation, successor) for name in "abc"], 5)
        assert told.everywhere is is_gone


def test_nothing_published_is_in_force_nowhere():
    assert not everywhere([status(name, 4) for name in "abc"], 5).published
    assert not everywhere([status(name, 4) for name in "abc"], 5).everywhere


# ---- One server's roster


def test_runs_that_are_gone_for_long_make_room(monkeypatch):
    monkeypatch.setattr(roster, "MOST_RUNS", 3)
    known = Roster()
    known.enrol(follower("g1"), 0.0)
    known.enrol(follower("g1", "r2", 2), 0.0)
    known.enrol(follower("g2"), 0.0)
    with pytest.raises(RosterFullError):
        known.enrol(follower("g3"), KEPT_MS)
    known.leave(follower("g2"), 0.0)
    known.confirm(follower("g1", "r2", 2), 3, KEPT_MS + 1.0)
    known.enrol(follower("g3"), KEPT_MS + 1.0)
    assert set(known.runs) == {("g1", "r2"), ("g3", "r1")}


def test_who_lost_its_disk_takes_over_what_others_know():
    known, other = Roster(), Roster()
    known.confirm(follower("g1"), 3, 50.0)
    known.confirm(follower("g2"), 2, 50.0)
    assert known.leave(follower("g2"), 60.0) and not known.leave(follower("g2"), 61.0)
    assert not known.leave(follower("nobody"), 61.0)
    other.confirm(follower("g1"), 4, 1000.0)
    other.adopt(known.confirmations(100.0), 1000.0)
    assert other.runs["g1", "r1"].in_force == 4 and other.runs["g1", "r1"].heard_ms == 1000.0
    assert other.runs["g2", "r1"].left and other.runs["g2", "r1"].heard_ms == 960.0


# ---- Any interleaving

NAMES = tuple("abcd")  # fewer than on the six machines: the rare cases are met sooner
NAMES_COPIES = 3
MOST_AT_ONCE = 2
STEPS = 200


class Process:
    """A process of a gateway: what it serves by, and how far its enrolment and its answers are."""

    def __init__(self, number, gateway):
        self.follower = Follower(gateway, f"r{number}", number, "north")
        self.serves = None  # nothing before its first answer
        self.told = set()  # servers that know of it
        self.answers = []  # revisions on their way to it
        self.left = False


class Server:
    """A control server. ``disk``: the runs that survive its restart."""

    def __init__(self, name):
        self.name, self.roster, self.disk, self.standing, self.complete = name, Roster(), set(), 0, True


class Fleet:
    """Gateways enrol, follow and stop, servers restart and lose disks, while a status is being gathered.

    One step at a time, each at one place alone.
    """

    def __init__(self, seed):
        self.dice = random.Random(seed)
        self.standing = 0
        self.servers = [Server(name) for name in NAMES]
        self.processes = []
        self.view = View()
        self.told = 0  # the largest revision that was said to be in force everywhere

    def step(self):
        moves = [self.answer, self.take_answer] * 12 + [self.enrol, self.confirm, self.gather] * 24
        moves += (
            [self.learn] * 16 + [self.begin_status, self.publish] * 4 + [self.restart, self.lose_disk] * 2
        )
        if sum(not each.left for each in self.processes) < MOST_AT_ONCE:
            moves += [self.begin] * 4
        else:
            moves += [self.leave]
        self.dice.choice(moves)()
        self.check()

    def one(self, processes):
        """One of these that have not left, if there is any."""
        there = [each for each in processes if not each.left]
        return self.dice.choice(there) if there else None

    def publish(self):
        self.standing += 1

    def learn(self):
        self.dice.choice(self.servers).standing = self.standing

    def begin(self):
        number = len(self.processes) + 1
        self.processes.append(Process(number, self.dice.choice(["g1", "g2", "g3"])))

    def enrol(self):
        process = self.one(each for each in self.processes if len(each.told) < NAMES_COPIES)
        if process:
            server = self.dice.choice(self.servers)
            server.roster.enrol(process.follower, 0.0)
            server.disk.add(process.follower)
            process.told.add(server.name)

    def answer(self):
        """Before a first answer the register is read, after the enrolment. Answers may be late."""
        process = self.one(each for each in self.processes if len(each.told) >= NAMES_COPIES)
        if process:
            server = self.dice.choice(self.servers)
            if process.serves is None:
                server.standing = self.standing
            process.answers.append(server.standing)

    def take_answer(self):
        process = self.one(each for each in self.processes if each.answers)
        if process:
            process.serves = max(process.serves or 0, process.answers.pop(0))

    def confirm(self):
        process = self.one(each for each in self.processes if each.serves is not None)
        if process:
            self.dice.choice(self.servers).roster.confirm(process.follower, process.serves, 0.0)

    def leave(self):
        process = self.one(self.processes)
        if process:
            process.left = True
            self.dice.choice(self.servers).roster.leave(process.follower, 0.0)

    def restart(self):
        """What was confirmed is forgotten; what was enrolled is on disk."""
        server = self.dice.choice(self.servers)
        server.roster, server.standing = Roster(), 0
        for each in server.disk:
            server.roster.enrol(each, 0.0)

    def lose_disk(self):
        """One server's at a time: it recovers, or another lost its disk before."""
        incomplete = [each for each in self.servers if not each.complete]
        if incomplete:
            self.recover(incomplete[0])
            return
        server = self.dice.choice(self.servers)
        server.disk, server.roster, server.standing, server.complete = set(), Roster(), 0, False

    def recover(self, server):
        """It waits for longer than an enrolment may take, so that none counts it that began before."""
        for process in self.processes:
            if len(process.told) < NAMES_COPIES:
                process.told.clear()
        others = [each for each in self.servers if each.complete]
        for other in self.dice.sample(others, enough_servers(len(NAMES), NAMES_COPIES)):
            server.roster.adopt(other.roster.confirmations(0.0), 0.0)
            server.disk |= other.disk
        server.complete = True

    def begin_status(self):
        self.view = View()

    def gather(self):
        server = self.dice.choice(self.servers)
        confirmations = server.roster.confirmations(0.0)
        said = ServerStatus(server.name, "north", server.standing, 0.0, confirmations, server.complete)
        self.view = self.view.merge(View.of(said))
        for revision in range(self.view.standing, self.told, -1):
            if progress(self.view, revision, len(NAMES), NAMES_COPIES).everywhere:
                self.told = revision
                break

    def check(self):
        for process in self.processes:
            if process.serves is not None and not process.left:
                assert process.serves >= self.told
            for server in self.servers:
                run = server.roster.runs.get(roster.key_of(process.follower))
                assert run is None or run.in_force <= (process.serves or 0)


def play(seed):
    """A fleet after its steps."""
    fleet = Fleet(seed)
    for _ in range(STEPS):
        fleet.step()
    return fleet


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 1 << 30))
def test_everywhere_is_never_told_early_in_any_interleaving(seed):
    play(seed)


def test_interleavings_come_to_be_in_force_everywhere():
    """Guards against a test above that proves nothing, as nothing is ever told."""
    fleets = [play(seed) for seed in range(40)]
    assert sum(fleet.told for fleet in fleets) >= 40
    assert sum(process.serves is not None for fleet in fleets for process in fleet.processes) >= 50
