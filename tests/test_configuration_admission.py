"""The pace of snapshots: never beyond it, and all that come back as told are let in soon."""

import heapq
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackenloft.configuration.admission import LONGEST_RETRY_MS, SnapshotAdmission


@given(
    st.floats(0.5, 200.0),
    st.integers(1, 50),
    st.lists(st.tuples(st.floats(0.0, 500.0), st.floats(0.0, 0.999)), max_size=200),
)
def test_no_more_than_the_pace_and_the_burst_whatever_the_arrivals(per_s, burst, arrivals):
    admission = SnapshotAdmission(per_s, burst)
    now_ms, begun_ms, admitted = 0.0, None, 0
    for gap_ms, jitter in arrivals:
        now_ms += gap_ms
        begun_ms = now_ms if begun_ms is None else begun_ms
        busy = admission.admit(now_ms, jitter)
        if busy is None:
            admitted += 1
        else:
            assert 0.0 < busy.retry_after_ms <= LONGEST_RETRY_MS
        assert admitted <= burst + (now_ms - begun_ms) * per_s / 1000.0 + 1e-6


@pytest.mark.parametrize("seed", range(5))
def test_95_at_once_are_all_in_within_little_more_than_the_pace_needs(seed):
    admission, dice = SnapshotAdmission(20.0, 10), random.Random(seed)
    arrivals, refusals = [(dice.random(), number) for number in range(95)], 0
    heapq.heapify(arrivals)
    last_ms = 0.0
    while arrivals:
        now_ms, number = heapq.heappop(arrivals)
        busy = admission.admit(now_ms, dice.random())
        if busy:
            refusals += 1
            heapq.heappush(arrivals, (now_ms + busy.retry_after_ms, number))
        last_ms = now_ms
    assert last_ms <= 2.0 * (95 - 10) / 20.0 * 1000.0
    assert refusals <= 2 * 95


def test_a_clock_that_goes_back_refills_nothing():
    admission = SnapshotAdmission(1.0, 1)
    assert admission.admit(1000.0, 0.0) is None
    assert admission.admit(0.0, 0.0) is not None
    assert admission.admit(1000.0, 0.0) is not None
    assert admission.admit(2000.0, 0.0) is None


@pytest.mark.parametrize(("per_s", "burst"), [(0.0, 1), (-1.0, 1), (1.0, 0)])
def test_a_pace_that_can_not_be_is_refused(per_s, burst):
    with pytest.raises(ValueError, match="not above 0"):
        SnapshotAdmission(per_s, burst)
