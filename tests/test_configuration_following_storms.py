"""Control servers that say anything at any time: what a gateway puts in force only grows."""

from follower import BUCKETS, begin, offer, position, record, records
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from brackenloft.configuration import following
from brackenloft.configuration.following import (
    ApplyRecords,
    ChunkCall,
    Failure,
    FollowCall,
    LoadBuckets,
    Pause,
)
from brackenloft.configuration.messages import Busy, Changes, Chunk, Compacted, Unchanged

ANSWERS = st.one_of(
    st.builds(Unchanged, st.integers(0, 30), st.floats(0.0, 5000.0)),
    st.builds(
        lambda first, count, verified: Changes(records(first, first + count), verified),
        st.integers(1, 30),
        st.integers(-1, 5),
        st.floats(0.0, 5000.0),
    ),
    st.builds(
        lambda last, cut: Changes(tuple(record(n) for n in range(1, last + 1) if n != cut), 0.0),
        st.integers(0, 30),
        st.integers(0, 30),
    ),
    st.builds(offer, st.integers(0, 30), st.floats(0.0, 5000.0)),
    st.builds(Chunk, st.integers(0, 30), st.sampled_from([(), (b"",) * following.CHUNK_BUCKETS, (b"",) * 8])),
    st.builds(Compacted, st.integers(0, 30), st.integers(0, 30)),
    st.builds(Busy, st.floats()),
)
DRAWS = st.floats(0.0, 1.0)


class Storms(RuleBasedStateMachine):
    """Servers that say anything at any time: what is put in force only grows, without a gap, and whole."""

    def __init__(self):
        super().__init__()
        self.core, self.now = begin(), 0.0
        self.call, self.abandoned = None, 0
        self.loaded: dict[bytes, set[int]] = {}
        self.highest = 0

    @rule(pause=st.floats(0.0, 6000.0))
    def time_goes_on(self, pause):
        self.now += pause

    @rule()
    def asks(self):
        step = self.core.next_step(self.now)
        if isinstance(step, Pause):
            assert 0.0 < step.pause_ms <= 2.0 * following.MOST_BUSY_MS
            return
        if self.call:
            self.abandoned = self.call.number
        self.call = step
        if isinstance(step, FollowCall):
            assert step.request.in_force == self.highest
            self.loaded.clear()

    @rule(answer=ANSWERS, draw=DRAWS)
    def late_answer(self, answer, draw):
        before = self.core.in_force
        if self.abandoned:
            assert self.core.answered(self.abandoned, answer, self.now, draw) is None
        assert self.core.in_force == before

    @precondition(lambda self: self.call)
    @rule(failure=st.sampled_from(list(Failure)), draw=DRAWS)
    def fails(self, failure, draw):
        self.core.failed(self.call.number, failure, self.now, draw)
        self.call = None

    @precondition(lambda self: self.call)
    @rule(answer=ANSWERS, draw=DRAWS, good=st.booleans(), right=st.booleans())
    def answers(self, answer, draw, good, right):
        if right and isinstance(self.call, ChunkCall):
            wanted = self.call.request
            answer = Chunk(wanted.revision, (b"",) * len(wanted.buckets))
        work = self.core.answered(self.call.number, answer, self.now, draw)
        self.call = None
        if isinstance(work, ApplyRecords):
            numbers = [one.revision for one in work.records]
            assert numbers == list(range(self.highest + 1, self.highest + 1 + len(numbers))) and numbers
            self.ends(numbers[-1], good, draw)
        elif isinstance(work, LoadBuckets):
            loaded = self.loaded.setdefault(work.offer.digest, set())
            assert not loaded & set(work.places)
            loaded |= set(work.places)
            if work.last:
                ours, theirs = self.core.in_force.buckets, work.offer.buckets
                assert loaded == {n for n in range(BUCKETS) if ours[n] != theirs[n]}
                self.ends(work.offer.revision, good, draw)

    def ends(self, revision, good, draw):
        assert revision > self.highest
        if good:
            self.core.put_in_force(position(revision))
            self.highest = revision
        else:
            self.core.rejected(Failure.MISMATCH, self.now, draw)

    @invariant()
    def never_goes_back(self):
        assert self.core.in_force == position(self.highest)


TestStorms = Storms.TestCase
TestStorms.settings = settings(max_examples=60, stateful_step_count=60, deadline=None, derandomize=True)
