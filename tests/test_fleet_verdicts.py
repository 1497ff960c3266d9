"""What one gateway finds out about servers for all: whom it asks, and what the others make of it."""

import random
from collections import deque

from fakes import SETTINGS
from hypothesis import given
from hypothesis import strategies as st

from brackenloft import ListKind, Outcome, ProbeResult, Request, Send, ServerEntry, ServerList, Status
from brackenloft.fleet.registers.model import Held
from brackenloft.fleet.tasks import verdicts
from brackenloft.fleet.tasks.verdicts import Hints, Verdicts
from brackenloft.policy import Gateway
from brackenloft.policy.servers import DOUBTED, FADE_MS, Fleet

NAMES = st.sets(st.sampled_from([f"n{number}" for number in range(30)]))


BAD = st.dictionaries(st.sampled_from([f"n{number}" for number in range(30)]), st.integers(1, 1000))


@given(NAMES, NAMES, BAD, st.integers(0, 200))
def test_who_is_doubted_is_asked_in_each_run_and_everybody_in_some(servers, doubted, bad, first):
    asked = [set(verdicts.to_ask(servers, doubted, bad, first + run)) for run in range(verdicts.PART)]
    assert set.union(*asked) == servers
    assert all(some >= servers & doubted - set(bad) for some in asked)
    for name in servers & set(bad):
        times = sum(name in some for some in asked)
        assert 1 <= times <= (verdicts.PART if bad[name] == 1 else 5 if bad[name] == 2 else 3)


@given(NAMES, BAD, st.dictionaries(st.sampled_from([f"n{number}" for number in range(30)]), st.booleans()))
def test_who_is_bad_is_who_did_not_answer_last_and_is_listed(servers, bad, answers):
    found = set(verdicts.found(bad, answers, servers))
    for name in servers:
        assert (name in found) == (not answers[name] if name in answers else name in bad)
    assert found <= servers


def test_verdicts_of_a_smaller_token_are_refused_and_news_ends():
    older, newer = Verdicts(4, 1000.0, {"n1": 1}), Verdicts(5, 1000.0, {"n2": 3})
    held = Held(3, "op", verdicts.write(newer))
    assert verdicts.replaced(held, older) is None
    assert verdicts.replaced(held, newer) is not None and verdicts.replaced(None, older) is not None
    hints = Hints()
    hints.saw(held, 100.0)
    assert hints.bad(100.0) == ("n2",)
    hints.saw(held, 2000.0)  # the same version again is no news
    assert hints.bad(100.0 + verdicts.LASTS * 1000.0) == ()


def known(now=0.0):
    fleet = Fleet(SETTINGS, random.Random(1), lambda line: None)
    fleet.now = now
    fleet.take_list(ServerList(ListKind.FULL, tuple(ServerEntry(number, "a") for number in (1, 2, 3))))
    return fleet, fleet.servers[1]


def test_a_hint_is_a_doubt_that_lasts_with_it_and_one_good_answer_of_our_own_outweighs():
    fleet, server = known()
    for step in range(20):
        fleet.now = 500.0 * step
        fleet.hint(server)
        assert fleet.share_failed(server, "") >= DOUBTED
    fleet.mark(server, "", failed=False)
    assert fleet.share_failed(server, "") < DOUBTED
    fleet.hint(server)  # what we saw ourselves is fresh
    assert fleet.share_failed(server, "") < DOUBTED


def test_a_hint_is_heard_again_once_our_own_answers_are_old_and_fades_with_the_last():
    fleet, server = known()
    fleet.mark(server, "", failed=False)
    fleet.hint(server)
    assert not server.bad
    fleet.now, fleet.sends = 2.0 * FADE_MS, 100
    fleet.hint(server)
    assert fleet.share_failed(server, "") >= 1.0 / 3.0 and server.bad
    fleet.now, fleet.sends = 10.0 * FADE_MS, 1000
    assert fleet.share_failed(server, "") < 0.01


def asked_of_a_silent_one(seed, hinted):
    """How often one gateway of many sends to a server that is silent; eight requests are out at a time."""
    gateway, sent, out = Gateway(SETTINGS, seed=seed), 0, deque()
    gateway.handle(0.0, ServerList(ListKind.FULL, tuple(ServerEntry(n, "a") for n in (1, 2, 3, 4))))
    for number in range(400):
        now = 25.0 * number
        if hinted and number % 20 == 0:
            gateway.handle(now, ProbeResult(1, Status.TIMEOUT, 500.0))
        while out and out[0][0] <= now:
            gateway.handle(now, out.popleft()[1])
        request = Request(f"r{number}", "read", "free", f"c{number}", patience_ms=2000.0)
        for action in gateway.handle(now, request):
            if isinstance(action, Send):
                sent += action.server == 1
                status = Status.CONNECT_FAILED if action.server == 1 else Status.OK
                out.append((now + 200.0, Outcome(action.request_id, 0, action.server, status, 200.0, True)))
    return sent


def test_requests_go_elsewhere_while_a_server_is_hinted_at():
    alone, told = (sum(asked_of_a_silent_one(seed, hinted) for seed in range(8)) for hinted in (False, True))
    assert alone >= 16 and told <= 0.2 * alone, (alone, told)
