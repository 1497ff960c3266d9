"""How a gateway asks for a snapshot after an answer that it could not use, and that a server takes it."""

import msgspec
import pytest

from brackenloft.configuration import following_service
from brackenloft.configuration.builder import apply
from brackenloft.configuration.following import Endpoint, Failure, FollowCall, Following, Position
from brackenloft.configuration.log import Log, follow_answer
from brackenloft.configuration.messages import Follower, SnapshotOffer
from brackenloft.configuration.model import Delta, Items, Record, Service
from brackenloft.configuration.tree import Tree

FOLLOWER = Follower("g0", "run", 1, "north")


def next_call(core, now_ms):
    while not isinstance(step := core.next_step(now_ms), FollowCall):
        now_ms += step.pause_ms
    return step, now_ms


def test_a_server_takes_the_request_for_a_snapshot_that_a_gateway_makes_after_a_mismatch():
    change = Delta(0, Items(services=(Service("s"),)))
    tree, log = apply(Tree.empty(), change), Log()
    log.append(Record(1, tree.digest, change))
    empty = Tree.empty()
    core = Following(FOLLOWER, [Endpoint("c0", "north")], Position(0, empty.digest, empty.bucket_digests))
    call, now_ms = next_call(core, 0.0)
    core.answered(call.number, follow_answer(log, tree, call.request, 0.0), now_ms, 0.5)
    core.rejected(Failure.MISMATCH, now_ms, 0.5)
    call, _ = next_call(core, now_ms)
    following_service.check(call.request)
    assert isinstance(follow_answer(log, tree, call.request, 0.0), SnapshotOffer)


def test_a_digest_of_another_length_is_refused():
    empty = Tree.empty()
    core = Following(FOLLOWER, [Endpoint("c0", "north")], Position(0, empty.digest, empty.bucket_digests))
    request = next_call(core, 0.0)[0].request
    following_service.check(request)
    for digest in (b"", b"1", bytes(15), bytes(17)):
        with pytest.raises(following_service.BadRequest):
            following_service.check(msgspec.structs.replace(request, digest=digest))
