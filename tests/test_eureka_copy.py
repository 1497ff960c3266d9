"""A registry's documents without sockets: forms cut anywhere, odd instances, the copy and the book."""

import json
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from registry import APP, info

from brackenloft.membership.eureka import copy as copies
from brackenloft.membership.eureka import forms
from brackenloft.membership.eureka.copy import Copy, CopyError, Moment
from brackenloft.membership.eureka.forms import FormError, JsonForm, XmlForm, form_of
from brackenloft.membership.eureka.rounds import LEAST_BACKOFF_MS, WHOLE_AGAIN_MS, Ask, Rounds, Server
from brackenloft.membership.eureka.rows import RowError, ipv4, row, status_of
from brackenloft.membership.eureka.servers import Choice, ServerReader
from brackenloft.membership.eureka.skew import Skew
from brackenloft.standins.eureka import Registry, compact, single, xml

HOUR = 3_600_000.0


class Clock:
    def __init__(self) -> None:
        self.now = 1_700_000_000_000.0

    def __call__(self) -> float:
        return self.now


def book_of(*names: str) -> tuple[Registry, Clock]:
    clock = Clock()
    book = Registry(clock)
    for number, name in enumerate(names, 7001):
        book.register(APP, info(name, number, metadata={"cell": "3", "zone": "x"}))
    clock.now += HOUR
    return book, clock


def a_copy(choice: Choice = Choice(apps=(APP.lower(),))) -> Copy:  # noqa: B008
    return Copy(ServerReader(choice, Skew()))


def read(form, data: bytes, size: int) -> list[dict]:
    found = []
    for start in range(0, len(data), size):
        found += list(form.feed(data[start : start + size]))
    return found + form.end()


def whole(copy: Copy, document: dict, now: float, kind: str = "json") -> copies.Change:
    data = json.dumps({"applications": document}) if kind == "json" else xml("applications", document)
    loading = copy.begin(now)
    for raw in read(form_of(f"application/{kind}"), data.encode(), 1000):
        loading.take(raw)
    return loading.finish()


def rows_of(document: dict) -> list[dict]:
    return [item for app in document["application"] for item in app["instance"]]


# ---- Forms


@pytest.mark.parametrize("size", [1, 2, 7, 100, 10**6])
@pytest.mark.parametrize("kind", ["json", "pretty", "single", "xml"])
def test_a_document_is_the_same_however_it_is_cut(kind, size):
    book, _ = book_of("a") if kind == "single" else book_of("a", "b", "ü\u4e00")
    document = book.whole()
    data = {
        "json": lambda: json.dumps({"applications": document}),
        "pretty": lambda: json.dumps({"applications": document}, indent=2, ensure_ascii=False) + "\n",
        "single": lambda: json.dumps({"applications": single(document)}),
        "xml": lambda: xml("applications", document),
    }[kind]().encode()
    form = XmlForm() if kind == "xml" else JsonForm()
    found = [row(raw) for raw in read(form, data, size)]
    assert found == [row(raw) for raw in rows_of(document)] and found
    assert form.head[forms.HASHCODE] == book.hashcode() and int(form.head[forms.VERSION]) == 0


@pytest.mark.parametrize("kind", ["json", "xml"])
def test_a_document_that_breaks_off_anywhere_is_no_document(kind):
    document = book_of("a", "b")[0].whole()
    text = json.dumps({"applications": document}) if kind == "json" else xml("applications", document)
    data = text.encode()
    for end in range(len(data)):
        with pytest.raises(FormError):
            read(form_of(f"text/{kind}; charset=utf-8"), data[:end], 4096)


@pytest.mark.parametrize(
    "kind, data",
    [
        ("json", b""),
        ("json", b"[]"),
        ("json", b"{}"),
        ("json", b"7"),
        ("json", b'"x"'),
        ("json", b"null"),
        ("json", b'{"applications": null}'),
        ("json", b'{"applications": {} ]'),
        ("json", b"\xff\xfe{}"),
        ("json", b'{"applications" {}}'),
        ("json", b'{"applications": {,}}'),
        ("json", b"<applications/>"),
        ("json", b'{"applications": {"application": [[[[[[[[[[]]]]]]]]]]}}'),
        ("json", b'{"a": 1 "b": 2}'),
        ("json", b'{"applications": {"application": [{"instance": [{"a": ' + b"[" * 3000),
        ("json", b'{"applications": {"application": [{"instance": [{"a": "' + b"x" * 300_000),
        ("json", b'{"applications": {"x": tru}}' + b" " * 300_000),
        ("xml", b""),
        ("xml", b"<html></html>"),
        ("xml", b"<applications>"),
        ("xml", b"{}"),
        ("xml", b'<!DOCTYPE a [<!ENTITY b "x">]><applications>&b;</applications>'),
        ("xml", b"<a>" * 20),
        ("xml", b"<applications><instance>" + b"<a/>" * 3000),
        ("xml", b"<applications><instance>" + b"x" * 300_000),
    ],
)
def test_what_is_no_list_is_said_to_be_none_within_bounds(kind, data):
    with pytest.raises(FormError):
        read(form_of(f"application/{kind}"), data, 4096)


def test_a_large_value_is_not_read_again_at_each_byte():
    form = JsonForm()
    calls = 0
    scan = form.scan

    def counting(text, place):
        nonlocal calls
        calls += 1
        return scan(text, place)

    form.scan = counting
    read(form, b'{"applications": {"x": "' + b"y" * 20_000 + b'"}}', 1)
    assert calls < 60


@given(st.text(max_size=30), st.integers(1, 9))
def test_no_text_breaks_the_readers(text, size):
    for kind in ("json", "xml"):
        for data in (text, '{"applications":{"application":[' + text, "<applications>" + text):
            try:
                read(form_of(f"application/{kind}"), data.encode(), size)
            except FormError:
                continue


def test_other_types_of_content_are_refused():
    with pytest.raises(FormError):
        form_of("text/html")


# ---- Instances


@pytest.mark.parametrize(
    "change, words",
    [
        ({"ipAddr": "::1"}, "no IPv4"),
        ({"ipAddr": "no"}, "no IPv4"),
        ({"port": {"$": 70_000}}, "no port"),
        ({"port": 1.5}, "no port"),
        ({"vipAddress": "x" * 300}, "300 characters"),
        ({"port": {"$": 7001, "@enabled": "false"}}, "no plain port"),
        (
            {"port": {"$": 7001, "@enabled": False}, "securePort": {"$": 7002, "@enabled": True}},
            "no plain port",
        ),
        ({"metadata": {"cell": "many"}}, "metadata cell"),
        ({"metadata": {"weight": "-1"}}, "metadata weight"),
        ({"metadata": {"startedAtMs": "nan"}}, "metadata startedAtMs"),
        ({"port": None}, "no plain port"),
    ],
)
def test_an_instance_that_cannot_be_used_costs_itself_alone_and_is_named(change, words):
    book, clock = book_of("a", "b")
    document = book.whole()
    document["application"][0]["instance"][0].update(change)
    copy = a_copy()
    change = whole(copy, document, clock.now)
    assert [instance.name for instance in change.changed] == ["BOARD/b"]
    assert change.unread == 1 and words in change.told[0] and copy.hashcode() == "UP_2_"


@pytest.mark.parametrize(
    "raw",
    [
        {},
        {"app": "A"},
        {"instanceId": "x"},
        {"app": 7, "instanceId": []},
        {"app": "A" * 300, "instanceId": "x"},
    ],
)
def test_an_instance_without_identity_is_none(raw):
    with pytest.raises(RowError):
        status_of(raw)


def test_a_server_whose_entry_is_spoilt_is_withdrawn_not_lost():
    book, clock = book_of("a", "b")
    copy = a_copy()
    whole(copy, book.whole(), clock.now)
    document = book.whole()
    document["application"][0]["instance"][0]["port"] = {"$": "http"}
    document["application"][0]["instance"][0]["lastUpdatedTimestamp"] = "soon"
    change = whole(copy, document, clock.now + copies.CACHED_MS)
    assert [(item.name, item.ready) for item in change.changed] == [("BOARD/a", False)]


def test_forms_of_older_servers_are_read():
    raw = {
        "app": "board",
        "hostName": "10.0.0.7",
        "status": "up",
        "port": "7001",
        "metadata": "",
        "overriddenstatus": "OUT_OF_SERVICE",
        "leaseInfo": None,
        "lastUpdatedTimestamp": "17",
        "dataCenterInfo": {"name": "Amazon", "metadata": {"instance-id": "i-1", "availability-zone": "z"}},
    }
    found = row(raw)
    assert found.id == ("BOARD", "i-1") and found.port == 7001
    assert found.zone == "z" and ipv4(found) == "10.0.0.7"
    assert found.status == "UP" and not found.in_service and found.updated_ms == 17.0


@pytest.mark.parametrize(
    "status, override, ready",
    [
        ("UP", "UNKNOWN", True),
        ("UP", "UP", True),
        ("UP", "OUT_OF_SERVICE", False),
        ("DOWN", "UP", False),
        ("STARTING", "UNKNOWN", False),
        ("UNKNOWN", "UP", False),
        ("UP", "", True),
        ("up", None, True),
    ],
)
def test_in_service_is_what_both_the_status_and_the_override_say(status, override, ready):
    raw = {"app": "A", "instanceId": "x", "status": status, "overriddenStatus": override, "port": 1}
    assert row(raw).in_service is ready


@pytest.mark.parametrize("port, expected", [("plain", 7001), ("secure", 7443), ("either", 7001)])
def test_the_port_that_is_chosen(port, expected):
    raw = {
        "app": "A",
        "instanceId": "x",
        "status": "UP",
        "ipAddr": "127.0.0.1",
        "port": 7001,
        "securePort": {"$": "7443", "@enabled": "TRUE"},
        "vipAddress": "p,q",
    }
    reader = ServerReader(Choice(vips=("q",), port=port), Skew())
    assert reader(row(raw), None, Moment(1.0, True)).port == expected
    assert ServerReader(Choice(vips=("z",)), Skew())(row(raw), None, Moment(1.0, True)) is None


def test_the_short_form_has_all_that_is_needed_but_the_times():
    book, clock = book_of("a")
    copy = a_copy()
    whole(copy, compact(book.whole()), clock.now)
    book.register(APP, info("b", 7002))
    change = whole(copy, compact(book.whole()), clock.now + 5.0)
    (new,) = change.changed
    assert new.started_ms == clock.now + 5.0  # first seen then, and nothing tells when it came up


# ---- The copy against the book


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("register"), st.integers(0, 5)),
        st.tuples(st.just("cancel"), st.integers(0, 5)),
        st.tuples(st.just("status"), st.integers(0, 5), st.sampled_from(["UP", "DOWN", "STARTING"])),
        st.tuples(st.just("override"), st.integers(0, 5), st.sampled_from(["OUT_OF_SERVICE", "UP", None])),
        st.tuples(st.just("time"), st.sampled_from([1.0, 50_000.0, 200_000.0])),
        st.tuples(st.sampled_from(["delta", "lost", "older", "whole", "restart"]), st.integers(0, 3)),
    ),
    max_size=40,
)


class Pair:
    """A book and the copy of it, and what the copy has said of changes."""

    def __init__(self) -> None:
        self.book, self.clock = book_of("0", "1")
        self.copy, self.view, self.old = a_copy(), {}, []
        self.take(whole(self.copy, self.book.whole(), self.clock.now))

    def take(self, change: copies.Change) -> None:
        for name in (*change.left, *change.absent):
            self.view.pop(name, None)
        self.view.update({item.name: item for item in change.changed})

    def change(self, kind: str, name: str, more: str | None = None) -> None:
        book = self.book
        {
            "register": lambda: book.register(APP, info(name, 7001 + int(name))),
            "cancel": lambda: book.cancel(APP, name),
            "status": lambda: book.renew(APP, name, more),
            "override": lambda: book.override(APP, name, more),
            "restart": book.restart,
        }[kind]()

    def ask(self, kind: str, back: int) -> None:
        if kind == "whole":
            self.clock.now += copies.CACHED_MS
            self.take(whole(self.copy, self.book.whole(), self.clock.now))
            return
        self.old.append(self.book.delta())
        if kind != "lost":
            document = self.old[max(0, len(self.old) - 1 - (back if kind == "older" else 0))]
            self.take(self.copy.delta(rows_of(document), self.clock.now))

    def check(self) -> None:
        """What was said is what is held, and the sums are right."""
        records = self.copy.records.values()
        assert self.view == {item.instance.name: item.instance for item in records}
        assert self.copy.servers == len(self.view)
        statuses = [record.status for record in records]
        assert self.copy.counts == {status: statuses.count(status) for status in statuses}

    def check_book(self) -> None:
        assert {name: item.ready for name, item in self.view.items()} == {
            f"{app}/{name}": lease.shown == "UP" and lease.override in ("UNKNOWN", "UP")
            for (app, name), lease in self.book.leases.items()
        }


@settings(max_examples=300, deadline=None)
@given(steps=STEPS)
def test_the_copy_says_what_it_holds_and_a_whole_list_makes_it_the_book(steps):
    pair = Pair()
    for kind, *step in [*steps, ("whole", 0)]:
        pair.clock.now += 1.0
        if kind == "time":
            pair.clock.now += step[0]
        elif kind in ("delta", "lost", "older", "whole"):
            pair.ask(kind, step[0])
        else:
            pair.change(kind, str(step[0]), *step[1:])
        pair.check()
        if kind == "whole":
            pair.check_book()
    assert pair.copy.hashcode() == pair.book.hashcode()


def test_a_delta_that_is_repeated_or_late_changes_nothing_that_is_newer():
    book, clock = book_of("a", "b")
    copy = a_copy()
    whole(copy, book.whole(), clock.now)
    book.renew(APP, "a", "DOWN")
    before = book.delta()
    clock.now += 10.0
    book.renew(APP, "a", "UP")
    after = book.delta()
    assert [item.ready for item in copy.delta(rows_of(after), clock.now).changed] == []  # up, as it was
    change = copy.delta(rows_of(before), clock.now)
    assert not change.changed and not change.left and copy.hashcode() == book.hashcode()


def test_a_whole_list_out_of_a_cache_does_not_undo_a_newer_delta():
    book, clock = book_of("a", "b")
    copy, cached = a_copy(), book.whole()
    whole(copy, cached, clock.now)
    clock.now += 10.0
    book.override(APP, "a", "OUT_OF_SERVICE")
    assert [item.ready for item in copy.delta(rows_of(book.delta()), clock.now).changed] == [False]
    assert not whole(copy, cached, clock.now + 1000.0).changed
    assert copy.hashcode() == book.hashcode()
    assert [item.ready for item in whole(copy, cached, clock.now + copies.CACHED_MS).changed] == [True]


def test_a_whole_list_out_of_a_cache_does_not_bring_back_a_node_that_left():
    book, clock = book_of("a", "b")
    copy, cached = a_copy(), book.whole()
    whole(copy, cached, clock.now)
    clock.now += 10.0
    book.cancel(APP, "a")
    assert copy.delta(rows_of(book.delta()), clock.now).left == ["BOARD/a"]
    assert not whole(copy, cached, clock.now + 1000.0).changed
    book.register(APP, info("a", 7001))
    back = copy.delta(rows_of(book.delta()), clock.now + 2000.0).changed
    assert [item.name for item in back] == ["BOARD/a"]
    assert not copy.deleted


def test_more_instances_than_there_is_room_for_are_no_list(monkeypatch):
    monkeypatch.setattr(copies, "MOST_INSTANCES", 2)
    book, clock = book_of("a", "b", "c")
    copy = a_copy()
    with pytest.raises(CopyError):
        whole(copy, book.whole(), clock.now)
    assert not copy.records
    book.cancel(APP, "c")
    whole(copy, book.whole(), clock.now)
    book.register(APP, info("d", 7009))
    with pytest.raises(CopyError):
        copy.delta(rows_of(book.delta()), clock.now)


# ---- Starts and clocks


def started(copy: Copy) -> dict[str, float]:
    return {record.instance.name[-1]: record.instance.started_ms for record in copy.records.values()}


def test_a_node_that_registers_anew_with_a_later_time_has_started_then():
    book, clock = book_of("a", "b", "c")
    copy = a_copy()
    whole(copy, book.whole(), clock.now)
    assert set(started(copy).values()) == {clock.now - HOUR}
    book.cancel(APP, "a")
    clock.now += 1000.0
    book.register(APP, info("a", 7001))
    copy.delta(rows_of(book.delta()), clock.now)
    assert started(copy)["a"] == clock.now and started(copy)["b"] == clock.now - HOUR - 1000.0
    book.register(APP, info("b", 7002))  # again under its lease: the time since when it is up stays
    copy.delta(rows_of(book.delta()), clock.now)
    assert started(copy)["b"] == clock.now - HOUR - 1000.0


def test_a_node_that_leaves_starting_has_started():
    book, clock = book_of("a", "b", "c")
    copy = a_copy()
    whole(copy, book.whole(), clock.now)
    for status in ("STARTING", "UP"):
        clock.now += 1000.0
        book.renew(APP, "a", status)
        copy.delta(rows_of(book.delta()), clock.now)
    assert started(copy)["a"] == clock.now


def test_what_a_node_says_of_its_start_comes_first_and_is_never_in_the_future():
    book, clock = book_of("a")
    for said, expected in ((clock.now - 5.0, clock.now - 5.0), (clock.now + HOUR, clock.now)):
        book.register(APP, info("a", 7001, metadata={"startedAtMs": str(said)}))
        copy = a_copy()
        whole(copy, book.whole(), clock.now)
        assert started(copy)["a"] == expected


@pytest.mark.parametrize("by", ["version", "whole list", "delta", "missing first"])
def test_after_the_registrys_own_restart_nodes_that_were_known_are_not_cold(by):
    names = [str(n) for n in range(8)]
    book, clock = book_of(*names)
    copy = a_copy()
    whole(copy, book.whole(), clock.now)
    before = started(copy)
    book.restart()
    clock.now += 30_000.0
    if by == "version":
        copy.restarted(clock.now)
    if by == "missing first":
        whole(copy, book.whole(), clock.now)
    for number, name in enumerate(names[:1] if by == "version" else names):
        book.register(APP, info(name, 7001 + number))
    if by in ("whole list", "missing first"):
        change = whole(copy, book.whole(), clock.now)
    else:
        change = copy.delta(rows_of(book.delta()), clock.now)
    assert started(copy) == before and all(
        item.started_ms == clock.now - HOUR - 30_000.0 for item in change.changed
    )
    clock.now += copies.AFTERMATH_MS
    book.cancel(APP, "3")
    book.register(APP, info("3", 7004))
    copy.delta(rows_of(book.delta()), clock.now)
    assert started(copy)["3"] == clock.now  # the aftermath is over
    assert not copy.forgotten


@given(
    ahead=st.floats(-1e9, 1e9), answers=st.lists(st.tuples(st.floats(0, 5000), st.floats(0, 900)), max_size=9)
)
def test_a_start_by_our_clock_is_never_too_early_and_never_in_the_future(ahead, answers):
    skew, now = Skew(), 1e12
    for wait, way in answers:
        now += wait + way
        written = now - way / 2.0
        skew.heard((written + ahead) // 1000.0 * 1000.0, now - way, now)
    for true in (now - 60_000.0, now - 1.0):
        ours = skew.ours(true + ahead, now)
        assert ours <= now
        if answers:
            assert true - 0.01 <= ours <= true + 2000.0


def test_a_clock_that_is_set_anew_is_followed():
    skew = Skew()
    for step in range(5):
        skew.heard(1e12 + step * 1000.0, 1e12 + step * 1000.0, 1e12 + step * 1000.0)
    skew.heard(2e12, 1e12 + 6000.0, 1e12 + 6000.0)
    assert skew.ours(2e12, 1e12 + 7000.0) == 1e12 + 6000.0 and skew.high < inf


# ---- Whom to ask, for what, and when


def rounds_of(*zones: str, zone: str = "", deltas: bool = True) -> Rounds:
    return Rounds(tuple(Server(f"http://{n}", name) for n, name in enumerate(zones)), zone, 1000.0, deltas)


def test_servers_of_the_own_zone_first_then_in_order_and_a_wait_after_the_last():
    rounds, asked, now = rounds_of("x", "a", "y", "a", zone="a"), [], 0.0
    for _ in range(9):
        plan = rounds.next()
        waits = plan.at > now
        now = max(now, plan.at)
        asked.append((plan.server, waits))
        rounds.failed_once(now, 0.5)
    assert asked == [
        (1, False),
        (3, False),
        (0, False),
        (2, False),
        (1, True),
        (3, False),
        (0, False),
        (2, False),
        (1, True),
    ]
    assert rounds.at == now  # the second of the next round is asked at once


@given(st.lists(st.floats(0.0, 1.0), min_size=1, max_size=60))
def test_the_wait_of_a_registry_that_is_away_is_bounded(draws):
    rounds, now = rounds_of("a"), 0.0
    for draw in draws:
        rounds.failed_once(now, draw)
        assert now + 0.9 * LEAST_BACKOFF_MS <= rounds.next().at <= now + 1.1 * 1000.0
        now = rounds.next().at


def test_a_count_that_is_never_right_asks_for_the_whole_ever_more_rarely():
    rounds, now, wholes = rounds_of("a"), 0.0, []
    while now < 3_600_000.0:
        plan = rounds.next()
        now = max(now, plan.at)
        if plan.ask is Ask.WHOLE:
            wholes.append(now)
        rounds.answered(now, False, 0.5)
    gaps = [after - before for before, after in zip(wholes, wholes[1:], strict=False)]
    assert gaps[0] >= 10_000.0 and gaps[-1] >= 300_000.0 and len(wholes) < 20
    rounds.answered(now, True, 0.5)
    rounds.answered(now, False, 0.5)
    # It was right: the next is asked at once.
    assert rounds.next().ask is Ask.WHOLE and rounds.next().at == now


def test_a_whole_list_now_and_then_and_the_first_server_again_later():
    rounds, now = rounds_of("a", "b"), 0.0
    rounds.failed_once(now, 0.5)
    seen = set()
    while now < WHOLE_AGAIN_MS * 1.5:
        plan = rounds.next()
        now = max(now, plan.at)
        seen.add((plan.server, plan.ask))
        rounds.answered(now, True, 0.5)
    assert seen == {(1, Ask.WHOLE), (1, Ask.DELTA), (0, Ask.DELTA), (0, Ask.WHOLE)}
