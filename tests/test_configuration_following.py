"""Which control server a gateway asks next, and what its answers may change."""

from collections import Counter

import pytest
from follower import AWAY, BUCKETS, HOME, SERVERS, Clock, begin, follower, offer, position, record, records
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.configuration import following
from brackenloft.configuration.following import (
    ApplyRecords,
    ChunkCall,
    Failure,
    FollowCall,
    LoadBuckets,
    Pause,
)
from brackenloft.configuration.messages import Busy, Changes, Chunk, Compacted, SnapshotOffer, Unchanged
from brackenloft.configuration.model import Delta, Record

# ---- Whom to ask


def test_servers_of_the_own_region_come_first_and_gateways_spread_evenly_over_them():
    first = Counter()
    for number in range(570):
        order = following.preference(follower(f"gateway-{number}"), SERVERS)
        assert {endpoint.region for endpoint in order[:2]} == {"east"} and len(order) == len(SERVERS)
        first[order[0].name, order[2].name] += 1
    assert set(first) == {(home.name, away.name) for home in HOME for away in AWAY}
    assert max(first.values()) < 2 * min(first.values())


def test_a_lost_server_moves_nobody_but_its_own_followers():
    for number in range(50):
        order = following.preference(follower(f"g{number}"), SERVERS)
        without = following.preference(follower(f"g{number}"), [one for one in SERVERS if one.name != "e0"])
        assert without == [one for one in order if one.name != "e0"]


def test_another_region_is_asked_only_when_the_own_one_has_failed_and_is_left_again():
    core = begin()
    clock = Clock(core)
    asked = []
    for _ in range(3):
        call = clock.call()
        asked.append(call.server)
        if len(asked) < 3:
            core.failed(call.number, Failure.TIMEOUT, clock.now, 1.0)
    assert set(asked[:2]) == {"e0", "e1"} and asked[2].startswith("w")
    core.answered(call.number, Unchanged(0, 0.0), clock.now, 1.0)
    clock.now += following.RETRY_CAP_MS
    assert clock.call().server == asked[0]


def test_one_call_at_most_is_lost_to_stalled_servers_once_another_answers():
    """Both servers of the region stall: between two failures another region's is heard."""
    core = begin()
    clock = Clock(core)
    asked = []
    for _ in range(100):
        call = clock.call()
        stalled = call.server in ("e0", "e1")
        asked.append(stalled)
        clock.now += call.timeout_ms if stalled else call.request.wait_ms
        if stalled:
            core.failed(call.number, Failure.TIMEOUT, clock.now, 0.0)
        else:
            core.answered(call.number, Unchanged(0, 0.0), clock.now, 0.0)
    assert asked[:3] == [True, True, False] and True in asked[3:]
    assert not any(first and second for first, second in zip(asked[2:], asked[3:], strict=False))


def test_time_to_wait_is_given_only_to_a_server_that_has_answered():
    core = begin()
    clock = Clock(core)
    call = clock.call()
    assert call.request.wait_ms == 0 and call.timeout_ms == following.FIRST_TIMEOUT_MS
    core.answered(call.number, Unchanged(0, 0.0), clock.now, 0.5)
    call = clock.call()
    assert call.request.wait_ms == following.WAIT_MS < call.timeout_ms
    core.failed(call.number, Failure.TIMEOUT, clock.now, 1.0)
    assert clock.call().request.wait_ms == 0


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(list(Failure)), st.floats(0.0, 1.0)), min_size=1, max_size=60))
def test_pauses_are_capped_and_spread_and_requests_keep_their_distance(failures):
    core = begin()
    now, last = 0.0, -following.LEAST_GAP_MS
    for failure, draw in failures:
        step = core.next_step(now)
        while isinstance(step, Pause):
            assert 0.0 < step.pause_ms <= following.RETRY_CAP_MS
            now += step.pause_ms
            step = core.next_step(now)
        assert now - last >= following.LEAST_GAP_MS - 1e-6
        last = now
        core.failed(step.number, failure, now, draw)
        server = core.servers[step.server]
        bound = min(following.RETRY_CAP_MS, following.RETRY_BASE_MS * 2.0 ** (server.failures - 1))
        assert server.retry_at_ms == now + draw * bound
    assert sum(core.failures.values()) == len(failures)


def test_a_fault_before_any_call_sets_nobody_back():
    core = begin()
    core.rejected(Failure.INTERNAL, 0.0, 1.0)
    assert core.failures == {Failure.INTERNAL: 1} and isinstance(core.next_step(0.0), FollowCall)


def test_success_ends_the_growth_of_pauses():
    core = begin(servers=HOME[:1])
    clock = Clock(core)
    for _ in range(10):
        core.failed(clock.call().number, Failure.UNREACHABLE, clock.now, 1.0)
    core.answered(clock.call().number, Unchanged(0, 0.0), clock.now, 1.0)
    core.failed(clock.call().number, Failure.UNREACHABLE, clock.now, 1.0)
    assert core.servers["e0"].retry_at_ms == clock.now + following.RETRY_BASE_MS


@pytest.mark.parametrize("verified_ms", [3000.1, 1e9, float("nan"), float("inf"), -1.0])
def test_a_server_that_may_be_cut_off_is_left_but_what_is_newer_is_taken(verified_ms):
    core = begin()
    clock = Clock(core)
    call = clock.call()
    work = core.answered(call.number, Changes(records(1, 2), verified_ms), clock.now, 1.0)
    assert isinstance(work, ApplyRecords) and core.failures == {Failure.STALE: 1}
    assert clock.call().server != call.server and core.verified_at_ms == -float("inf")


@settings(derandomize=True, deadline=None)
@given(st.floats(), st.floats(0.0, 1.0))
def test_a_busy_server_is_left_for_as_long_as_it_says_within_a_bound(retry_after_ms, draw):
    core = begin(servers=HOME[:1])
    clock = Clock(core)
    core.answered(clock.call().number, Busy(retry_after_ms), clock.now, draw)
    pause = core.servers["e0"].retry_at_ms - clock.now
    assert following.LEAST_GAP_MS <= pause <= 2.0 * following.MOST_BUSY_MS
    if 0.0 <= retry_after_ms <= following.MOST_BUSY_MS:
        assert pause >= retry_after_ms
    assert not core.failures and core.busy == 1


# ---- What answers change


def test_records_that_are_known_are_left_out():
    core = begin(3)
    work = core.answered(Clock(core).call().number, Changes(records(2, 5), 0.0), 0.0, 0.0)
    assert work == ApplyRecords(records(4, 5))


@pytest.mark.parametrize(
    "given_records, failure",
    [
        (records(5, 6), Failure.GAP),
        (records(4, 4) + records(6, 6), Failure.GAP),
        ((record(5), record(4)), Failure.GAP),
        ((Record(4, b"", Delta(2)),), Failure.GAP),
        (records(1, 3), Failure.OLDER),
        ((), Failure.OLDER),
    ],
)
def test_a_gap_or_nothing_new_changes_nothing_and_another_server_is_asked(given_records, failure):
    core = begin(3)
    clock = Clock(core)
    call = clock.call()
    assert core.answered(call.number, Changes(given_records, 0.0), clock.now, 1.0) is None
    assert core.failures == {failure: 1} and core.in_force == position(3)
    assert clock.call().server != call.server


def test_a_late_answer_of_an_abandoned_call_changes_nothing():
    core = begin()
    clock = Clock(core)
    abandoned = clock.call()
    clock.now += 10_000.0
    call = clock.call()
    assert core.answered(abandoned.number, Changes(records(1, 1), 0.0), clock.now, 0.0) is None
    core.failed(abandoned.number, Failure.TIMEOUT, clock.now, 1.0)
    assert core.late == 2 and not core.failures
    assert isinstance(core.answered(call.number, Changes(records(1, 1), 0.0), clock.now, 0.0), ApplyRecords)
    assert core.answered(call.number, Changes(records(1, 1), 0.0), clock.now, 0.0) is None


def test_after_a_digest_that_does_not_match_a_snapshot_is_asked_for():
    core = begin(1)
    clock = Clock(core)
    call = clock.call()
    core.answered(call.number, Changes(records(2, 2), 0.0), clock.now, 0.0)
    core.rejected(Failure.MISMATCH, clock.now, 1.0)
    call = clock.call()
    assert call.request.digest == following.NO_DIGEST and call.request.in_force == 1
    core.failed(call.number, Failure.TIMEOUT, clock.now, 1.0)
    assert clock.call().request.digest == following.NO_DIGEST
    core.put_in_force(position(2))
    clock.now += 10_000.0
    assert clock.call().request.digest == position(2).digest


@pytest.mark.parametrize("failure", [Failure.TOO_LONG, Failure.GARBAGE])
def test_after_an_answer_that_was_too_long_a_snapshot_is_asked_for_until_it_shows_nothing_new(failure):
    core = begin(4)
    clock = Clock(core)
    core.failed(clock.call().number, failure, clock.now, 1.0)
    call = clock.call()
    assert call.request.digest == following.NO_DIGEST
    assert core.answered(call.number, offer(4), clock.now, 1.0) is None
    after = clock.call()
    assert after.server == call.server and after.request.digest == position(4).digest
    assert core.failures == {failure: 1}


def test_a_snapshot_is_fetched_bucket_by_bucket_and_continued_at_another_server():
    core = begin()
    clock = Clock(core)
    assert core.answered(clock.call().number, offer(7), clock.now, 0.0) is None
    places: list[int] = []
    server = ""
    while True:
        call = clock.call()
        assert isinstance(call, ChunkCall) and call.request.revision == 7
        if not server:
            server = call.server
            core.failed(call.number, Failure.UNREACHABLE, clock.now, 1.0)
            continue
        assert call.server != server or places
        wanted = call.request.buckets
        assert len(wanted) <= following.CHUNK_BUCKETS
        work = core.answered(call.number, Chunk(7, tuple(b"%d" % n for n in wanted)), clock.now, 0.0)
        assert isinstance(work, LoadBuckets) and work.places == wanted and work.offer == offer(7)
        places += work.places
        if work.last:
            break
    assert places == list(range(BUCKETS))
    core.put_in_force(position(7))
    assert isinstance(clock.call(), FollowCall)


def test_parts_of_a_snapshot_are_asked_for_without_a_pause():
    core = begin()
    clock = Clock(core)
    core.answered(clock.call().number, offer(7), clock.now, 0.0)
    call = clock.call()
    began = clock.now
    while isinstance(call, ChunkCall):
        assert clock.now == began
        core.answered(call.number, Chunk(7, (b"",) * len(call.request.buckets)), clock.now, 0.0)
        if call.request.buckets[-1] == BUCKETS - 1:
            break
        call = clock.call()
    core.put_in_force(position(7))
    core.answered(clock.call().number, Unchanged(7, 0.0), clock.now, 0.0)
    assert isinstance(core.next_step(clock.now), Pause)


def test_a_snapshot_is_fetched_on_where_it_is_given_while_a_preferred_server_stalls():
    core = begin()
    clock = Clock(core)
    core.answered(clock.call().number, offer(7), clock.now, 0.0)
    core.failed(clock.call().number, Failure.TIMEOUT, clock.now, 0.0)
    servers = set()
    while not isinstance(call := clock.call(), FollowCall):
        servers.add(call.server)
        core.answered(call.number, Chunk(7, (b"",) * len(call.request.buckets)), clock.now, 0.0)
    assert len(servers) == 1 and servers != {call.server}


def test_only_buckets_that_differ_are_fetched():
    core = begin(4)
    there = position(4).buckets[:-2] + (b"new", b"new too")
    core.answered(Clock(core).call().number, SnapshotOffer(6, b"d6", there, 0.0), 0.0, 0.0)
    call = Clock(core).call()
    assert isinstance(call, ChunkCall) and call.request.buckets == (BUCKETS - 2, BUCKETS - 1)


def test_a_snapshot_of_what_is_there_already_is_put_in_force_without_fetching():
    core = begin(4)
    same = SnapshotOffer(6, b"d4", position(4).buckets, 0.0)
    work = core.answered(Clock(core).call().number, same, 0.0, 0.0)
    assert work == LoadBuckets(same, (), (), True)


@pytest.mark.parametrize(
    "snapshot",
    [
        offer(4),
        offer(3),
        SnapshotOffer(9, b"", position(9).buckets[1:], 0.0),
        SnapshotOffer(9, b"", (), 0.0),
    ],
)
def test_an_older_snapshot_or_one_of_another_shape_changes_nothing(snapshot):
    core = begin(4)
    clock = Clock(core)
    call = clock.call()
    assert core.answered(call.number, snapshot, clock.now, 1.0) is None
    after = clock.call()
    assert isinstance(after, FollowCall) and after.server != call.server


@pytest.mark.parametrize(
    "answer",
    [
        Chunk(6, (b"",) * following.CHUNK_BUCKETS),
        Chunk(7, (b"",)),
        Chunk(7, ()),
        Unchanged(7, 0.0),
        Changes(records(1, 7), 0.0),
        offer(7),
    ],
)
def test_a_wrong_answer_within_a_snapshot_changes_nothing(answer):
    core = begin()
    clock = Clock(core)
    core.answered(clock.call().number, offer(7), clock.now, 0.0)
    assert core.answered(clock.call().number, answer, clock.now, 1.0) is None
    assert core.failures == {Failure.GARBAGE: 1}
    call = clock.call()
    assert isinstance(call, ChunkCall) and call.request.buckets[0] == 0


@pytest.mark.parametrize("end", ["compacted", "failures"])
def test_a_snapshot_that_can_not_be_had_any_more_begins_again(end):
    core = begin()
    clock = Clock(core)
    core.answered(clock.call().number, offer(7), clock.now, 0.0)
    if end == "compacted":
        core.answered(clock.call().number, Compacted(9, 12), clock.now, 0.0)
    else:
        for _ in range(following.SNAPSHOT_FAILURES):
            call = clock.call()
            assert isinstance(call, ChunkCall)
            core.failed(call.number, Failure.TIMEOUT, clock.now, 0.0)
    assert isinstance(clock.call(), FollowCall)


def test_the_revision_in_force_never_goes_back():
    core = begin(5)
    for revision in (0, 4, 5):
        with pytest.raises(ValueError, match=f"revision {revision} after 5"):
            core.put_in_force(position(revision))
    assert core.in_force == position(5)
