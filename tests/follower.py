"""What the tests of following share: documents by their revision, servers, a clock."""

from functools import cache

from brackenloft.configuration import following
from brackenloft.configuration.following import ChunkCall, Endpoint, FollowCall, Following, Pause, Position
from brackenloft.configuration.messages import Follower, SnapshotOffer
from brackenloft.configuration.model import Delta, Record

BUCKETS = 2 * following.CHUNK_BUCKETS + 10  # of these documents
HOME = [Endpoint("e0", "east"), Endpoint("e1", "east")]
AWAY = [Endpoint(name, "west") for name in ("w0", "w1", "w2", "w3")]
SERVERS = AWAY[:2] + HOME + AWAY[2:]


def follower(name: str = "g0") -> Follower:
    return Follower(name, "run", 1, "east", "east-a")


@cache
def position(revision: int) -> Position:
    """A document whose buckets all change with each revision."""
    return Position(revision, b"d%d" % revision, tuple(b"%d:%d" % (revision, n) for n in range(BUCKETS)))


def record(revision: int) -> Record:
    return Record(revision, position(revision).digest, Delta(revision - 1))


def records(first: int, last: int) -> tuple[Record, ...]:
    return tuple(record(number) for number in range(first, last + 1))


def offer(revision: int, verified_ms: float = 0.0) -> SnapshotOffer:
    there = position(revision)
    return SnapshotOffer(revision, there.digest, there.buckets, verified_ms)


def begin(revision: int = 0, servers: list[Endpoint] = SERVERS) -> Following:
    return Following(follower(), servers, position(revision))


class Clock:
    """Goes on by itself while a core says that nobody is to be asked."""

    def __init__(self, core: Following) -> None:
        self.core, self.now = core, 0.0

    def call(self) -> FollowCall | ChunkCall:
        step = self.core.next_step(self.now)
        while isinstance(step, Pause):
            assert 0.0 < step.pause_ms <= 2.0 * following.MOST_BUSY_MS
            self.now += step.pause_ms
            step = self.core.next_step(self.now)
        return step
