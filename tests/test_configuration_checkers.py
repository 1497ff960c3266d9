"""The checkers of histories of configuration: each finds what breaks its promise, and nothing else."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackenloft.configuration.model import Delta, Items, Names, Plan, Record, Service, Tenant
from brackenloft.lab.configuration import checkers, events
from brackenloft.lab.configuration.checkers import Promise
from brackenloft.lab.configuration.events import (
    CutOff,
    FaultsOver,
    HistoryEnded,
    InForce,
    ProcessEnded,
    PublishAnswered,
    PublishAsked,
    RecordRead,
    RunEnrolled,
    RunLeft,
    RunStarted,
    Served,
    StatusTold,
)


def digest(revision):
    return bytes([revision]) * 16


def delta(revision, marker=None):
    """Each revision gives plan p0 its own rate, and moves tenant t0 between two plans."""
    plans = (Plan("p0", rate=float(revision)), Plan("p1", rate=100.0 + revision))
    tenants = (Tenant("t0", f"p{revision % 2}"), Tenant("t1", "p0"))
    services = (Service(marker or f"m{revision}"),)
    return Delta(revision - 1, Items(services=services, plans=plans, tenants=tenants))


def published(at_ms, revision, marker=None):
    """A change that stands, with its record."""
    marker = marker or f"m{revision}"
    change = delta(revision, marker)
    return [
        PublishAsked(at_ms, marker, change),
        PublishAnswered(at_ms + 1.0, marker, "Published", revision, digest(revision)),
        RecordRead(at_ms + 2.0, "c0", Record(revision, digest(revision), change)),
    ]


def started(run, region="north"):
    return [RunStarted(0.0, run, run, region, f"process-{run}"), RunEnrolled(1.0, run)]


def served(at_ms, run, revision, tenant="t1", plan="p0", rate=None):
    return Served(at_ms, run, revision, tenant, plan, float(revision) if rate is None else rate)


def good():
    """Two runs, in two regions, that follow two revisions, and a status that says so."""
    return [
        *started("a"),
        *started("b", "south"),
        *published(10.0, 1),
        InForce(20.0, "a", 1, digest(1)),
        InForce(21.0, "b", 1, digest(1)),
        served(22.0, "a", 1),
        served(23.0, "b", 1, "t0", "p1", 101.0),
        StatusTold(24.0, 25.0, 1, "", 2, 2, True),
        *published(30.0, 2),
        served(34.0, "b", 1),
        FaultsOver(40.0),
        InForce(50.0, "a", 2, digest(2)),
        StatusTold(51.0, 52.0, 2, "north", 1, 1, True),
        StatusTold(51.0, 52.0, 2, "", 1, 2, False, (CutOff("b", 1),)),
        served(55.0, "a", 2),
        InForce(60.0, "b", 2, digest(2)),
        served(70.0, "b", 2, "t0", "p0"),
        StatusTold(71.0, 72.0, 2, "", 2, 2, True),
        HistoryEnded(13_000.0),
    ]


def found(history):
    return {
        breach.promise for breach in checkers.all_breaches(sorted(history, key=lambda event: event.at_ms))
    }


def test_a_good_history_breaks_nothing_and_tells_how_soon_all_were_at_the_newest():
    assert checkers.all_breaches(good()) == []
    assert checkers.in_force_after_ms(good()) == 20.0


@pytest.mark.parametrize(
    "bad",
    [
        [served(80.0, "a", 1)],
        [InForce(80.0, "a", 1, digest(1))],
        [InForce(80.0, "a", 1, digest(1)), InForce(81.0, "a", 2, digest(2))],
    ],
)
def test_a_run_that_serves_by_or_takes_an_older_revision_went_back(bad):
    assert Promise.NEVER_BACK in found([*good(), *bad])


def test_a_new_run_of_a_gateway_may_begin_with_an_older_revision_than_the_one_before():
    again = [RunStarted(80.0, "a2", "a", "north", "process-a2"), served(81.0, "a2", 0, plan="file", rate=7.0)]
    assert found([*good(), *again, InForce(82.0, "a2", 1, digest(1))]) == set()


@pytest.mark.parametrize(
    "bad",
    [
        served(80.0, "a", 2, "t1", "p0", 1.0),  # the plan of the revision before
        served(80.0, "a", 2, "t0", "p1", 102.0),  # the tenant's plan of the revision before
        served(80.0, "a", 2, "t1", "", 0.0),  # a tenant that was not loaded
        served(80.0, "a", 2, "t9", "p0", 2.0),  # one that nobody published
        InForce(80.0, "a", 2, digest(9)),
    ],
)
def test_a_lookup_or_a_digest_that_is_not_its_revisions_is_torn(bad):
    assert Promise.WHOLE in found([*good(), bad])


def test_what_a_run_serves_by_its_own_file_is_nobodys_revision():
    alone = [RunStarted(80.0, "c", "c", "north", "process-c"), served(81.0, "c", 0, "t1", "file", 5.0)]
    assert found([*good(), *alone]) == set()


def test_content_follows_removals_before_what_is_put_in():
    first = Record(1, digest(1), delta(1))
    gone = Record(2, digest(2), Delta(1, Items(tenants=(Tenant("t1", "p1"),)), Names(tenants=("t0", "t1"))))
    content = checkers.contents({1: first, 2: gone})[2]
    assert content.look_up("t0") == ("", 0.0) and content.look_up("t1") == ("p1", 101.0)


@pytest.mark.parametrize(
    "bad",
    [
        [StatusTold(35.0, 36.0, 2, "", 1, 2, False)],  # nobody has it in force yet
        [StatusTold(54.0, 54.5, 2, "", 2, 2, False)],  # one of two
        [StatusTold(54.0, 54.5, 2, "south", 1, 1, False)],  # the other region's one
        [StatusTold(71.0, 72.0, 2, "", 1, 1, False)],  # a run that lives is left out
        [StatusTold(56.0, 57.0, 2, "", 1, 2, True), served(58.0, "b", 1)],
        [StatusTold(71.0, 72.0, 2, "", 1, 2, False, (CutOff("b", 3),))],  # it had 2 in force
    ],
)
def test_a_status_that_says_more_than_is_so_was_told_early(bad):
    assert Promise.TOLD_WHEN_DONE in found([*good(), *bad])


def test_a_run_that_was_stopped_and_wakes_with_an_older_revision_shows_that_everywhere_was_told_early():
    stopped = [*started("c"), InForce(20.0, "c", 1, digest(1)), served(90.0, "c", 1)]
    assert Promise.TOLD_WHEN_DONE in found([*good(), *stopped])


def test_runs_that_ended_left_or_were_not_enrolled_yet_need_not_be_known():
    killed = [*started("c"), ProcessEnded(15.0, "process-c")]
    left = [*started("d"), RunLeft(15.0, "d")]
    new = [RunStarted(70.0, "e", "e", "north", "process-e"), RunEnrolled(71.5, "e"), served(73.0, "e", 0)]
    new.append(InForce(74.0, "e", 2, digest(2)))
    assert found([*good(), *killed, *left, *new]) == set()


def test_a_run_that_lives_and_is_not_at_the_newest_in_time_is_late():
    slow = [*started("c"), InForce(20.0, "c", 1, digest(1)), InForce(12_050.0, "c", 2, digest(2))]
    assert found([*good(), *slow]) == {
        Promise.NEWEST_SOON,
        Promise.TOLD_WHEN_DONE,
    }  # it was not counted either
    late = checkers.late([*good(), *slow])
    assert [breach.what for breach in late if "revision 2" in breach.what]
    assert (
        checkers.late([*good(), *slow], within_ms=12_500.0) == []
    )  # taken at 12,010 ms after the last fault


def test_a_history_that_ends_too_soon_or_without_a_publish_proves_nothing():
    never = [*started("c"), InForce(20.0, "c", 1, digest(1))]
    short = [event for event in [*good(), *never] if not isinstance(event, HistoryEnded)]
    assert "when the history ended" in checkers.late([*short, HistoryEnded(100.0)])[0].what
    assert checkers.late(short)
    assert checkers.late([*started("a"), FaultsOver(1.0), HistoryEnded(20_000.0)])
    assert checkers.in_force_after_ms([*good(), *never]) is None


def test_a_revision_with_two_digests_is_no_chain():
    other = RecordRead(80.0, "c1", Record(2, digest(9), delta(2)))
    assert Promise.ONE_CHAIN in found([*good(), other])
    assert Promise.ONE_CHAIN in found([*good(), InForce(80.0, "a", 2, digest(9))])
    assert Promise.ONE_CHAIN in found(
        [*good(), PublishAsked(79.0, "x", delta(2)), PublishAnswered(80.0, "x", "Published", 2, digest(9))]
    )


def test_records_with_a_gap_or_a_wrong_base_are_no_chain():
    assert Promise.ONE_CHAIN in found([*good(), RecordRead(80.0, "c1", Record(4, digest(4), delta(4)))])
    assert Promise.ONE_CHAIN in found([*good(), RecordRead(80.0, "c1", Record(3, digest(3), delta(2)))])
    assert Promise.ONE_CHAIN in found([*good(), InForce(80.0, "a", 3, digest(3))])


@pytest.mark.parametrize(
    "kind, may_stand, broken",
    [
        ("Conflict", False, True),
        ("Invalid", False, True),
        ("Unavailable", False, True),
        ("Unavailable", True, False),
    ],
)
def test_a_change_that_stands_must_not_have_been_refused(kind, may_stand, broken):
    change = delta(3, "x")
    stands = [
        PublishAsked(80.0, "x", change),
        PublishAnswered(81.0, "x", kind, may_stand=may_stand),
        RecordRead(82.0, "c0", Record(3, digest(3), change)),
    ]
    assert (Promise.ANSWER_HOLDS in found([*good(), *stands])) == broken


def test_a_change_that_was_published_must_stand_and_once():
    lost = [PublishAsked(80.0, "x", delta(2, "x")), PublishAnswered(81.0, "x", "Published", 2, digest(2))]
    assert Promise.ANSWER_HOLDS in found([*good(), *lost])  # two on one base: one stands
    skipped = [PublishAsked(80.0, "x", delta(2, "x")), PublishAnswered(81.0, "x", "Published", 3, digest(3))]
    assert Promise.ANSWER_HOLDS in found(
        [*good(), *skipped, RecordRead(82.0, "c0", Record(3, digest(3), delta(3, "x")))]
    )
    twice = [RecordRead(82.0, "c0", Record(3, digest(3), delta(3, "m2")))]
    assert Promise.ANSWER_HOLDS in found([*good(), *twice])


def test_a_publisher_that_was_killed_leaves_either():
    asked = PublishAsked(80.0, "x", delta(3, "x"))
    assert found([*good(), asked]) == set()
    assert found([*good(), asked, RecordRead(82.0, "c0", Record(3, digest(3), delta(3, "x")))]) == set()


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 4)), max_size=12))
def test_a_run_went_back_just_where_its_revisions_are_not_sorted(looks):
    history = [served(float(at), run, revision) for at, (run, revision) in enumerate(looks)]
    by_run = [[revision for run, revision in looks if run == name] for name in "abc"]
    assert bool(checkers.went_back(history)) == any(rows != sorted(rows) for rows in by_run)


def test_events_come_back_from_their_files_in_order_and_a_cut_line_is_left_out(tmp_path):
    for name, part in (("one", good()[::2]), ("two", good()[1::2])):
        writer = events.EventWriter(tmp_path / name)
        for event in part:
            writer.write(event)
        writer.close()
    with open(tmp_path / "two", "ab") as file:
        file.write(b'{"type":"Served","at_ms":1')
    assert events.read_events([tmp_path / "one", tmp_path / "two"]) == sorted(
        good(), key=lambda event: event.at_ms
    )
    with open(tmp_path / "two", "ab") as file:
        file.write(b"\n")
    with pytest.raises(msgspec.DecodeError):
        events.read_events([tmp_path / "two"])
