"""Several sources, one list: against a model that reckons everything anew each time; the rules one by one."""

from dataclasses import replace
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft import ListKind, ServerState
from brackenloft.membership import flaps, strikes
from brackenloft.membership.merge import Membership
from brackenloft.membership.model import Combine, Instance, Said, SourceTerms, Tried

STALE, HOLD = 100.0, 300.0
SHARE = 0.5


def terms(number: int = 1, hold: float = HOLD, share: float = SHARE) -> list[SourceTerms]:
    return [SourceTerms(f"s{n}", STALE, hold, share) for n in range(number)]


class Decisions:
    """What the decisions know by the updates they were told, and who a number stands for, for ever."""

    def __init__(self, merge: Membership) -> None:
        self.merge, self.known, self.who = merge, {}, {}
        self.gone = set()

    def settle(self, now: float, most: int = 3) -> None:
        while self.merge.due(now) <= now:
            update = self.merge.settle(now, most)
            if update is None:
                continue
            names = [
                self.who.get(entry.server) or self.merge.keys[entry.server] for entry in update.news.entries
            ]
            assert update.news.kind is ListKind.CHANGES
            assert len({name[1:] for name in names}) <= most  # addresses, at each of which all may change
            assert len(names) <= 2 * len(set(names))
            for entry in update.news.entries:
                if entry.state is ServerState.GONE:
                    del self.known[entry.server]
                    self.gone.add(entry.server)
                    continue
                assert entry.server not in self.gone, "a number is used again"
                name = self.merge.keys[entry.server]
                assert self.who.setdefault(entry.server, name) == name, "a number passed to another node"
                assert update.addresses[entry.server] == name[1:]
                self.known[entry.server] = entry

    def view(self) -> dict:
        return {
            self.who[number]: (entry.state is ServerState.READY, entry.started_ms, entry.zone)
            for number, entry in self.known.items()
        }

    def ready(self) -> set[str]:
        return {name for (name, *_), (ready, *_) in self.view().items() if ready}

    def number(self, name: str) -> int:
        (number,) = [number for number in self.known if self.who[number][0] == name]
        return number


class Model:
    """The same rules, said plainly: each source's list as a dict, all of it reckoned anew at each look."""

    def __init__(self, number: int, combine: Combine) -> None:
        self.lists, self.held = [{} for _ in range(number)], [{} for _ in range(number)]
        self.heard, self.let_go = [-inf] * number, [[] for _ in range(number)]
        self.combine = combine

    def said(self, now: float, said: Said) -> None:
        at, listed, held = said.source, self.lists[said.source], self.held[said.source]
        self.heard[at] = now
        for instance in said.changed:
            listed[instance.name] = instance
            held.pop(instance.name, None)
        for name in said.left:
            listed.pop(name, None)
            held.pop(name, None)
        absent = [name for name in said.absent if name in listed and name not in held]
        lately = sum(n for when, n in self.let_go[at] if when > now - HOLD)
        if lately + len(absent) <= max(1, SHARE * (len(listed) - len(held) + lately)):
            self.let_go[at].append((now, len(absent)))
            for name in absent:
                del listed[name]
        else:
            held.update({name: now + HOLD for name in absent})

    def view(self, now: float) -> dict:
        for listed, held in zip(self.lists, self.held, strict=True):
            for name in [name for name, until in held.items() if until <= now]:
                del held[name], listed[name]
        counting = list(range(len(self.lists)))
        if self.combine is Combine.FALLBACK:
            having = [n for n in counting if self.lists[n]]
            counting = ([n for n in having if now - self.heard[n] < STALE] or having)[:1]
        view = {}
        everyone = [instance for n in counting for instance in self.lists[n].values()]
        for instance in everyone:
            here = [
                [item for item in self.lists[n].values() if item.address == instance.address]
                for n in counting
            ]
            lasts = [
                max(items, key=lambda item: (item.registered_ms, item.started_ms, item.name))
                for items in here
                if items
            ]
            same = [item for item in everyone if item.key == instance.key]
            ready = lasts[0].key == instance.key and all(item.ready for item in lasts)
            view[instance.key] = (ready, max(item.started_ms for item in same), same[0].zone)
        return view


INSTANCES = st.builds(
    Instance,
    st.sampled_from("abcdef"),
    st.just("h"),
    st.integers(1, 4),
    st.sampled_from("xy"),
    ready=st.booleans(),
    started_ms=st.integers(0, 3).map(float),
    registered_ms=st.integers(0, 3).map(float),
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("whole"), st.integers(0, 2), st.lists(INSTANCES, max_size=6)),
        st.tuples(
            st.just("delta"),
            st.integers(0, 2),
            st.lists(INSTANCES, max_size=3),
            st.sets(st.sampled_from("abcdef"), max_size=2),
        ),
        st.tuples(st.just("time"), st.sampled_from([1.0, 60.0, 150.0, 400.0])),
        st.tuples(st.just("empty"), st.integers(0, 2)),
    ),
    max_size=40,
)


@pytest.mark.parametrize("combine", list(Combine))
@settings(max_examples=300, deadline=None)
@given(steps=STEPS)
def test_the_merged_view_is_the_models(combine, steps):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(flaps, "RETURNS", 10**9)  # flaps and strikes have tests of their own
        _as_the_model(combine, steps)


def _as_the_model(combine, steps):
    merge, model, now = Membership(terms(3), combine), Model(3, combine), 1000.0
    decisions = Decisions(merge)
    for kind, *step in steps:
        if kind == "time":
            now += step[0]
        else:
            source, instances = step[0], list({i.name: i for i in (step[1:2] or [[]])[0]}.values())
            names = {instance.name for instance in instances}
            left = tuple(sorted(step[2] - names)) if kind == "delta" else ()
            absent = () if kind == "delta" else tuple(set(model.lists[source]) - names)
            said = Said(source, tuple(instances), left, absent)
            merge.said(now, said)
            model.said(now, said)
        decisions.settle(now)
        assert decisions.view() == model.view(now)


@settings(max_examples=200, deadline=None)
@given(steps=STEPS, tries=st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=40))
def test_flaps_and_strikes_only_ever_take_away_and_never_most(steps, tries):
    merge, model, now = Membership(terms(3)), Model(3, Combine.UNION), 1000.0
    decisions = Decisions(merge)
    for number, (kind, *step) in enumerate(steps):
        if kind == "time":
            now += step[0]
        else:
            instances = list({i.name: i for i in (step[1:2] or [[]])[0]}.values())
            said = Said(step[0], tuple(instances))
            merge.said(now, said)
            model.said(now, said)
        if number < len(tries):
            merge.tried(now, Tried(*tries[number]))
        decisions.settle(now)
        wanted = {key for key, (ready, *_) in model.view(now).items() if ready}
        sent = {key for key, (ready, *_) in decisions.view().items() if ready}
        assert sent <= wanted
        assert len(merge.strikes.out) <= strikes.MOST_SHARE * max(1, len(decisions.known))


# ---- The rules one by one


def node(name: str, port: int = 1, **more) -> Instance:
    return Instance(name, "h", port, **more)


def merged(*instances: Instance, **more) -> tuple[Membership, Decisions]:
    merge = Membership(terms(**more))
    merge.said(0.0, Said(0, instances))
    decisions = Decisions(merge)
    decisions.settle(0.0)
    return merge, decisions


def test_a_new_id_at_the_same_address_is_another_node_and_cold_by_its_start():
    merge, decisions = merged(node("old", registered_ms=1.0))
    old = decisions.number("old")
    merge.said(10.0, Said(0, (node("new", registered_ms=2.0, started_ms=9.0),)))
    decisions.settle(10.0)
    assert decisions.ready() == {"new"} and decisions.number("new") != old  # the old lease has not ended yet
    assert decisions.known[decisions.number("new")].started_ms == 9.0
    merge.said(20.0, Said(0, (), ("old",)))
    decisions.settle(20.0)
    assert set(decisions.who[n][0] for n in decisions.known) == {"new"}


def test_an_address_is_withdrawn_by_whoever_registered_there_last():
    merge, decisions = merged(node("old", registered_ms=1.0), node("new", registered_ms=2.0, ready=False))
    assert decisions.ready() == set()


def test_an_address_that_moves_between_instances_and_an_instance_that_moves():
    merge, decisions = merged(node("a", 1), node("b", 2))
    first = decisions.number("a")
    merge.said(5.0, Said(0, (node("a", 2, registered_ms=5.0), node("b", 1, registered_ms=5.0))))
    decisions.settle(5.0)
    assert decisions.number("a") != first and decisions.ready() == {"a", "b"}
    assert {decisions.who[n] for n in decisions.known} == {("a", "h", 2), ("b", "h", 1)}


@pytest.mark.parametrize(
    "first, second, ready",
    [
        (node("a"), node("a"), {"a"}),
        (node("a"), node("a", ready=False), set()),
        (node("a"), node("other", ready=False), set()),
        (node("a"), node("other"), {"a"}),
    ],
)
def test_a_node_of_two_sources_is_one_and_withdrawn_by_either(first, second, ready):
    merge = Membership(terms(2))
    merge.said(0.0, Said(0, (first,)))
    merge.said(0.0, Said(1, (replace(second, started_ms=7.0),)))
    decisions = Decisions(merge)
    decisions.settle(0.0)
    assert decisions.ready() == ready
    if first.name == second.name:
        assert len(decisions.known) == 1 and decisions.known[1].started_ms == 7.0
    merge.said(STALE * 5, Said(0))  # the second is stale by now, and its withdrawal holds
    decisions.settle(STALE * 5)
    assert decisions.ready() == ready


def test_fallback_serves_while_the_first_is_stale_and_goes_back_at_once():
    merge = Membership(terms(2), Combine.FALLBACK)
    decisions = Decisions(merge)
    merge.said(0.0, Said(1, (node("spare", 2),)))
    decisions.settle(0.0)
    assert decisions.ready() == {"spare"}
    merge.said(1.0, Said(0, (node("a"),)))
    decisions.settle(1.0)
    assert decisions.ready() == {"a"}
    merge.said(50.0, Said(1))
    decisions.settle(50.0)
    assert merge.due(50.0) == 1.0 + STALE
    decisions.settle(1.0 + STALE)
    assert decisions.ready() == {"spare"}
    decisions.settle(500.0)  # both are stale: the first in the order that has a list
    assert decisions.ready() == {"a"}
    merge.said(501.0, Said(0))
    decisions.settle(501.0)
    assert decisions.ready() == {"a"}


def test_an_empty_list_does_not_empty_the_fleet_until_the_hold_is_over():
    nodes = [node(str(n), n) for n in range(1, 21)]
    merge, decisions = merged(*nodes, share=0.15)
    merge.said(10.0, Said(0, (), (), tuple(item.name for item in nodes)))
    decisions.settle(10.0)
    assert len(decisions.ready()) == 20 and merge.held() == 20
    merge.said(20.0, Said(0, tuple(nodes[:12]), (), ()))  # they register again
    decisions.settle(20.0)
    assert len(decisions.ready()) == 20 and merge.held() == 8
    decisions.settle(10.0 + HOLD - 1.0)
    assert len(decisions.ready()) == 20
    assert merge.due(10.0 + HOLD - 1.0) == 10.0 + HOLD
    decisions.settle(10.0 + HOLD)
    assert len(decisions.ready()) == 12 and merge.held() == 0


def test_a_few_that_are_missing_are_gone_but_not_little_by_little():
    nodes = [node(str(n), n) for n in range(1, 21)]
    merge, decisions = merged(*nodes, share=0.15)
    for step, name in enumerate(item.name for item in nodes[:6]):
        merge.said(step * 10.0, Said(0, (), (), (name,)))
        decisions.settle(step * 10.0)
    assert len(decisions.ready()) == 17 and merge.held() == 3


def test_what_is_said_to_have_left_is_gone_at_once_however_many():
    nodes = [node(str(n), n) for n in range(1, 21)]
    merge, decisions = merged(*nodes)
    merge.said(10.0, Said(0, (), tuple(item.name for item in nodes)))
    decisions.settle(10.0)
    assert not decisions.known


def test_a_stale_entry_that_cannot_be_reached_is_out_and_back_with_the_news():
    merge, decisions = merged(node("a", 1), node("b", 2), node("c", 3))
    number = decisions.number("a")
    for _ in range(5):
        merge.tried(50.0, Tried(number, False))
    decisions.settle(50.0)
    assert decisions.ready() == {"a", "b", "c"}  # it is fresh: the decisions alone see to it
    merge.tried(200.0, Tried(number, False))
    decisions.settle(200.0)
    assert decisions.ready() == {"a", "b", "c"}  # one may be chance
    merge.tried(201.0, Tried(number, False))
    decisions.settle(201.0)
    assert decisions.ready() == {"b", "c"}
    for other in ("b", "c"):  # no more than half
        for _ in range(3):
            merge.tried(202.0, Tried(decisions.number(other), False))
    decisions.settle(202.0)
    assert decisions.ready() == {"b", "c"}
    merge.said(210.0, Said(0))
    decisions.settle(210.0)
    assert decisions.ready() == {"a", "b", "c"}


def test_out_for_being_stale_ends_by_time_and_by_a_connect():
    merge, decisions = merged(node("a", 1), node("b", 2))
    number = decisions.number("a")
    for _ in range(2):
        merge.tried(200.0, Tried(number, False))
    decisions.settle(200.0)
    assert decisions.ready() == {"b"} and merge.due(200.0) == 200.0 + strikes.OUT_MS
    decisions.settle(200.0 + strikes.OUT_MS)
    assert decisions.ready() == {"a", "b"}
    for _ in range(2):
        merge.tried(40_000.0, Tried(number, False))
    decisions.settle(40_000.0)
    merge.tried(40_001.0, Tried(number, True))
    decisions.settle(40_001.0)
    assert decisions.ready() == {"a", "b"}


def test_a_node_that_is_missing_and_kept_counts_as_stale():
    merge, decisions = merged(node("a", 1), node("b", 2), share=0.0)
    merge.said(10.0, Said(0, (), (), ("a", "b")))
    decisions.settle(10.0)
    for _ in range(2):
        merge.tried(11.0, Tried(decisions.number("a"), False))
    decisions.settle(11.0)
    assert decisions.ready() == {"b"}
    merge.said(12.0, Said(0, (node("a", 1),)))
    decisions.settle(12.0)
    assert decisions.ready() == {"a", "b"}


def flap(merge: Membership, decisions: Decisions, name: str, port: int, times: int, now: float) -> float:
    for _ in range(times):
        for ready in (False, True):
            now += 1000.0
            merge.said(now, Said(0, (node(name, port, ready=ready),)))
            decisions.settle(now)
            if not ready:
                assert name not in decisions.ready()
    return now


def test_a_node_that_flaps_rests_and_comes_back_when_it_stands():
    merge, decisions = merged(*(node(str(n), n) for n in range(1, 9)))
    now = flap(merge, decisions, "1", 1, flaps.RETURNS, 0.0)
    assert "1" in decisions.ready()
    now = flap(merge, decisions, "1", 1, 3, now)
    assert "1" not in decisions.ready()
    decisions.settle(now + flaps.FIRST_MS * 4 - 1.0)
    assert "1" not in decisions.ready()
    decisions.settle(now + flaps.FIRST_MS * 4)
    assert "1" in decisions.ready()


def test_a_node_that_leaves_and_registers_again_flaps_too():
    merge, decisions = merged(*(node(str(n), n) for n in range(1, 9)))
    for second in range(1, 2 * flaps.RETURNS + 3):
        gone = second % 2
        merge.said(second * 1000.0, Said(0, () if gone else (node("1", 1),), ("1",) if gone else ()))
        decisions.settle(second * 1000.0)
    assert "1" not in decisions.ready() and len(decisions.known) == 8


def test_where_most_flap_at_once_it_is_their_source_and_they_serve():
    names = [str(n) for n in range(1, 9)]
    merge, decisions = merged(*(node(name, int(name)) for name in names))
    for second in range(1, 21):
        merge.said(
            second * 1000.0, Said(0, tuple(node(name, int(name), ready=second % 2 == 0) for name in names))
        )
        decisions.settle(second * 1000.0)
    assert len(decisions.ready()) == 6  # a quarter of eight waits


def test_nodes_that_are_gone_are_remembered_up_to_a_bound(monkeypatch):
    monkeypatch.setattr(flaps, "MOST_GONE", 5)
    merge, decisions = merged()
    for number in range(1, 50):
        merge.said(0.0, Said(0, (node(str(number), number),)))
        decisions.settle(0.0)
        merge.said(0.0, Said(0, (), (str(number),)))
        decisions.settle(0.0)
    assert len(merge.flaps.returns) == 5 and not merge.keys and not merge.claims and not merge.at
