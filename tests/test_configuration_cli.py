"""Operators' commands: check, publish and status, against control servers over real sockets."""

from __future__ import annotations

import json
from contextlib import ExitStack

import msgspec
import pytest
from aiohttp import web
from configuration_strategies import large_items
from control_operator import OperatorFake, confirmed, reply

from brackenloft.cli import main
from brackenloft.configuration import operator_client
from brackenloft.configuration.messages import (
    CHUNK_PATH,
    PUBLISH_PATH,
    RECORDS_PATH,
    STATUS_PATH,
    Busy,
    Changes,
    Compacted,
    PublishRequest,
    SnapshotOffer,
    Unavailable,
)
from brackenloft.configuration.model import Delta, Items, Names, Plan, Record, Section, Service, Tenant
from brackenloft.configuration.status_report import Report
from brackenloft.configuration.tree import Tree
from brackenloft.standins.ports import free_port

ANA = "00000000000000aa"
GOOD = {"plans": [{"name": "basic", "rate": 1.0, "burst": 5.0}], "tenants": [{"name": ANA, "plan": "basic"}]}


@pytest.fixture
def servers():
    """Makes control servers that end with the test."""
    with ExitStack() as stack:
        yield lambda *names, **bounds: [
            stack.enter_context(OperatorFake(name, **bounds)) for name in names or ("c0",)
        ]


def addresses(folder, *places) -> str:
    """The file of control servers; ``places`` are stand-ins, or ports where nobody listens."""
    rows = []
    for number, place in enumerate(places):
        port = place if isinstance(place, int) else place.port
        rows.append({"name": f"c{number}", "url": f"http://127.0.0.1:{port}", "region": "north"})
    path = folder / "control-client.json"
    path.write_text(json.dumps({"servers": rows}))
    return str(path)


def file(folder, content, name: str = "document.json") -> str:
    path = folder / name
    path.write_bytes(msgspec.json.encode(content))
    return str(path)


def said(capsys, *words: str):
    """A command's exit code and its object."""
    code = main(["config", *words, "--json"])
    out = capsys.readouterr()
    return code, json.loads(out.out)


def told(capsys, *words: str) -> tuple[int, str, str]:
    """A command's exit code, and what it says to people."""
    code = main(["config", *words])
    out = capsys.readouterr()
    return code, out.out, out.err


def fill(*fakes: OperatorFake, plans: int = 1) -> None:
    """Revisions 1 to ``plans``, each with a plan of its own."""
    for fake in fakes:
        for number in range(plans):
            fake.publish(Delta(number, Items(plans=(Plan(f"plan-{number}"),))))


# ---- check


def test_check_says_that_a_document_is_good(tmp_path, capsys):
    path = file(tmp_path, GOOD)
    assert said(capsys, "check", path) == (0, {"file": path, "valid": True, "faults": []})
    assert told(capsys, "check", path) == (0, f"{path}: good\n", "")


def test_check_says_every_fault_with_its_path(tmp_path, capsys):
    document = {"plans": [{"name": "p", "rate": 1.0}], "tenants": [{"name": ANA, "plan": "q"}]}
    path = file(tmp_path, document)
    code, found = said(capsys, "check", path)
    assert code == 1 and not found["valid"]
    assert [fault["path"] for fault in found["faults"]] == ["plans.p.burst", f"tenants.{ANA}.plan"]
    code, out, _ = told(capsys, "check", path)
    assert code == 1
    assert out.splitlines() == [
        "plans.p.burst: is 0 though there is a rate",
        f"tenants.{ANA}.plan: no such plan: q",
        f"{path}: 2 faults",
    ]


def test_check_says_faults_of_types(tmp_path, capsys):
    code, found = said(capsys, "check", file(tmp_path, {"plans": [{"name": 5, "cost": 1}]}))
    assert code == 1
    assert [fault["path"] for fault in found["faults"]] == ["plans[0].cost", "plans[0].name"]


def test_check_of_a_file_that_is_none(tmp_path, capsys):
    code, out, err = told(capsys, "check", str(tmp_path / "none.toml"))
    assert (code, out) == (2, "") and "none.toml" in err


def test_check_of_a_change_is_against_what_stands(tmp_path, capsys, servers):
    (server,) = servers()
    fill(server)
    config = addresses(tmp_path, server)
    good = file(tmp_path, Delta(1, Items(tenants=(Tenant(ANA, "plan-0"),))))
    assert said(capsys, "check", good, "--config", config)[0] == 0
    bad = file(tmp_path, Delta(3, Items(tenants=(Tenant(ANA, "none"),)), Names(plans=("x",))))
    code, found = said(capsys, "check", bad, "--config", config)
    assert code == 1
    assert [fault["path"] for fault in found["faults"]] == ["base", "remove.plans.x", f"tenants.{ANA}.plan"]
    code, _, err = told(capsys, "check", good)
    assert code == 2 and "--config" in err
    assert server.revision == 1 and PUBLISH_PATH not in server.paths()


# ---- publish


def test_publish_a_document_is_the_difference_to_what_stands(tmp_path, capsys, servers):
    (server,) = servers()
    server.publish(Delta(0, Items(plans=(Plan("basic"), Plan("old")))))
    config = addresses(tmp_path, server)
    code, found = said(capsys, "publish", file(tmp_path, GOOD), "--config", config, "--author", "ana")
    assert code == 0
    assert found == {"outcome": "published", "revision": 2, "digest": server.tree.digest.hex()}
    request = server.requests[-1][1]
    assert request == PublishRequest(
        Delta(
            1, Items(plans=(Plan("basic", 1.0, 5.0),), tenants=(Tenant(ANA, "basic"),)), Names(plans=("old",))
        ),
        "ana",
    )
    code, found = said(capsys, "publish", file(tmp_path, GOOD), "--config", config)
    assert (code, found["outcome"], found["revision"]) == (0, "unchanged", 2)
    assert server.paths().count(PUBLISH_PATH) == 1


@pytest.mark.parametrize("bounds", [{}, {"most_records": 2}])
def test_what_stands_is_reached_by_records_and_by_a_snapshot(tmp_path, capsys, servers, bounds):
    (server,) = servers(**bounds)
    fill(server, plans=30)
    server.publish(Delta(30, large_items(40, 3000)))
    wanted = Items(**{section.value: tuple(server.tree.items(section)) for section in Section})
    wanted = msgspec.structs.replace(wanted, services=(*wanted.services, Service("new")))
    code, found = said(capsys, "publish", file(tmp_path, wanted), "--config", addresses(tmp_path, server))
    assert (code, found["outcome"]) == (0, "published")
    assert server.requests[-1][1].delta == Delta(31, Items(services=(Service("new"),)))
    assert CHUNK_PATH in server.paths()


def test_publish_a_change(tmp_path, capsys, servers):
    (server,) = servers()
    fill(server, plans=3)
    config = addresses(tmp_path, server)
    path = file(tmp_path, Delta(3, Items(plans=(Plan("p"),))))
    code, out, _ = told(capsys, "publish", path, "--config", config)
    assert code == 0 and out == f"published 4 (digest {server.tree.digest.hex()[:12]})\n"
    assert server.paths() == [PUBLISH_PATH]


def test_a_change_of_another_base_is_a_conflict(tmp_path, capsys, servers):
    (server,) = servers()
    fill(server, plans=3)
    path = file(tmp_path, Delta(2, Items(plans=(Plan("p"),))))
    config = addresses(tmp_path, server)
    assert said(capsys, "publish", path, "--config", config) == (
        1,
        {"outcome": "conflict", "revision": 3, "base": 2},
    )
    code, out, _ = told(capsys, "publish", path, "--config", config)
    assert (code, out) == (1, "not published: the change is one of revision 2, and 3 stands\n")


def test_faults_that_only_a_server_sees_are_told(tmp_path, capsys, servers):
    (server,) = servers()
    path = file(tmp_path, Delta(0, Items(tenants=(Tenant(ANA, "none"),))))
    config = addresses(tmp_path, server)
    code, found = said(capsys, "publish", path, "--config", config)
    assert code == 1 and found["outcome"] == "invalid"
    assert found["faults"] == [{"path": f"tenants.{ANA}.plan", "reason": "no such plan: none"}]
    code, out, _ = told(capsys, "publish", path, "--config", config)
    assert out.splitlines() == [f"tenants.{ANA}.plan: no such plan: none", "not published: 1 faults"]


def test_a_document_with_faults_is_not_sent(tmp_path, capsys, servers):
    (server,) = servers()
    path = file(tmp_path, {"tenants": [{"name": ANA, "plan": "none"}]})
    code, found = said(capsys, "publish", path, "--config", addresses(tmp_path, server))
    assert code == 1 and found["outcome"] == "invalid"
    assert server.requests == []


def test_the_first_server_that_answers_is_used(tmp_path, capsys, servers):
    first, second, third = servers("c1", "c2", "c3")
    first.replies[PUBLISH_PATH] = lambda body: web.Response(status=404)
    second.replies[PUBLISH_PATH] = lambda body: reply(Unavailable("no stores", may_stand=False))
    path = file(tmp_path, Delta(0, Items(plans=(Plan("p"),))))
    config = addresses(tmp_path, free_port(), first, second, third)
    assert said(capsys, "publish", path, "--config", config)[1]["outcome"] == "published"
    assert third.revision == 1


def test_unavailable_is_told_and_whether_the_change_may_stand(tmp_path, capsys, servers):
    first, second = servers("c1", "c2")
    path = file(tmp_path, Delta(0, Items(plans=(Plan("p"),))))
    config = addresses(tmp_path, first, second)
    for fake in (first, second):
        fake.replies[PUBLISH_PATH] = lambda body: reply(Unavailable("no stores", may_stand=False))
    code, found = said(capsys, "publish", path, "--config", config)
    assert (code, found) == (1, {"outcome": "unavailable", "reason": "no stores"})
    first.replies[PUBLISH_PATH] = lambda body: reply(Unavailable("half of them", may_stand=True))
    code, found = said(capsys, "publish", path, "--config", config)
    assert (code, found) == (1, {"outcome": "unavailable", "reason": "half of them", "may_stand": True})
    assert second.paths().count(PUBLISH_PATH) == 1


@pytest.mark.parametrize(
    "answer",
    [
        lambda body: web.Response(body=b"<html>"),
        lambda body: web.Response(status=500),
        lambda body: reply(Unavailable("x", False)) if not body else web.Response(body=b""),
    ],
)
def test_an_answer_that_is_none_may_stand_and_no_other_server_is_asked(tmp_path, capsys, servers, answer):
    first, second = servers("c1", "c2")
    first.replies[PUBLISH_PATH] = answer
    path = file(tmp_path, Delta(0, Items(plans=(Plan("p"),))))
    code, found = said(capsys, "publish", path, "--config", addresses(tmp_path, first, second))
    assert code == 1 and found["may_stand"]
    code, out, _ = told(capsys, "publish", path, "--config", addresses(tmp_path, first, second))
    assert out.startswith("not known whether it is published: c0: ")
    assert second.requests == []


def test_nobody_answers(tmp_path, capsys):
    config = addresses(tmp_path, free_port(), free_port())
    for words in (
        ("publish", file(tmp_path, GOOD), "--config", config),
        ("publish", file(tmp_path, Delta(0), "delta.json"), "--config", config),
        ("status", "--config", config),
    ):
        code, out, err = told(capsys, *words)
        assert (code, out) == (1, "")
        assert "no control server answered: c0 (" in err and "c1 (" in err


def test_a_wrong_file_of_control_servers(tmp_path, capsys):
    code, _, err = told(capsys, "status", "--config", str(tmp_path / "none.toml"))
    assert code == 2 and "none.toml" in err
    assert told(capsys, "status")[0] == 2


WRONG_RECORD = Record(1, b"x" * 16, Delta(0, Items(plans=(Plan("p"),))))


@pytest.mark.parametrize(
    ("path", "answer"),
    [
        (RECORDS_PATH, Changes((WRONG_RECORD,), 0.0)),
        (RECORDS_PATH, Changes((msgspec.structs.replace(WRONG_RECORD, revision=9),), 0.0)),
        (RECORDS_PATH, SnapshotOffer(1, b"x" * 16, (b"y" * 16,), 0.0)),
        (RECORDS_PATH, SnapshotOffer(1, b"x" * 16, Tree.empty().bucket_digests, 0.0)),
        (RECORDS_PATH, {"type": "Nothing"}),
        (CHUNK_PATH, {"type": "Nothing"}),
    ],
)
def test_a_server_that_tells_nonsense_is_passed_over(tmp_path, capsys, servers, path, answer):
    first, second = servers("c1", "c2", most_records=1)
    fill(first, second, plans=3)
    first.replies[path] = lambda body: reply(answer)
    config = addresses(tmp_path, first, second)
    assert said(capsys, "publish", file(tmp_path, GOOD), "--config", config)[1]["outcome"] == "published"
    assert second.revision == 3 or first.revision == 4
    assert RECORDS_PATH in second.paths()


def test_a_server_that_is_busy_or_compacts_meanwhile_is_asked_again(tmp_path, capsys, servers):
    (server,) = servers(most_records=1)
    fill(server, plans=3)
    config = addresses(tmp_path, server)

    def once(path, message):
        def answer(body):
            del server.replies[path]
            return reply(message)

        server.replies[path] = answer

    once(RECORDS_PATH, Busy(1.0))
    once(CHUNK_PATH, Compacted(2, 3))
    assert said(capsys, "publish", file(tmp_path, GOOD), "--config", config)[1]["revision"] == 4
    assert server.paths().count(RECORDS_PATH) >= 3


def test_a_server_that_never_ends_is_left(tmp_path, capsys, servers, monkeypatch):
    monkeypatch.setattr(operator_client, "MOST_STEPS", 3)
    (server,) = servers()
    server.replies[RECORDS_PATH] = lambda body: reply(Busy(0.0))
    code, _, err = told(capsys, "publish", file(tmp_path, GOOD), "--config", addresses(tmp_path, server))
    assert code == 1 and "within 3 answers" in err
    assert server.paths().count(RECORDS_PATH) == 3


def test_a_change_that_is_too_long_is_not_sent(tmp_path, capsys, servers, monkeypatch):
    monkeypatch.setattr(operator_client, "LONGEST_REQUEST_BYTES", 0)
    (server,) = servers()
    plans = tuple(Plan(f"p{number * number}") for number in range(1000))
    path = file(tmp_path, Delta(0, Items(plans=plans)))
    code, _, err = told(capsys, "publish", path, "--config", addresses(tmp_path, server))
    assert code == 1 and "in parts" in err
    assert server.requests == []


# ---- status


def test_status_tells_that_a_revision_is_in_force_everywhere(tmp_path, capsys, servers):
    fakes = servers("c0", "c1", "c2")
    fill(*fakes, plans=2)
    for fake in fakes:
        fake.confirmations = (confirmed(1, 2), confirmed(2, 2, "south"), confirmed(3, 2, "south"))
    config = addresses(tmp_path, *fakes)
    code, out, _ = told(capsys, "status", "--config", config)
    assert code == 0
    assert out.splitlines() == [
        "published 2",
        "in force in region north at 1 of 1",
        "in force in region south at 2 of 2",
        "in force everywhere",
    ]
    code, found = said(capsys, "status", "--config", config)
    assert code == 0
    assert msgspec.convert(found, Report).everywhere
    assert (found["revision"], found["behind"], found["servers_counted"]) == (2, [], 3)


def test_status_names_who_is_cut_off_and_servers_that_do_not_answer(tmp_path, capsys, servers):
    fakes = servers("c0", "c1")
    fill(*fakes, plans=2)
    fakes[0].confirmations = (confirmed(1, 1, silent_ms=42_000.0), confirmed(2, 2))
    fakes[1].confirmations = (confirmed(1, 0, silent_ms=90_000.0),)
    fakes[1].replies[STATUS_PATH] = lambda body: web.Response(body=b"<html>")
    code, out, _ = told(capsys, "status", "--config", addresses(tmp_path, *fakes, free_port()))
    assert code == 0
    printed = out.splitlines()
    assert printed[:2] == ["published 2", "in force in region north at 1 of 2"]
    assert printed[2].startswith("cut off: gateway g1 in region north since 20")
    assert printed[2].endswith("(42 s), serving revision 1 or a later one")
    assert printed[3].startswith("control server c1: no answer: ")
    assert printed[4].startswith("control server c2: no answer: ")
    assert printed[5] == "not in force everywhere: 1 behind, 1 of them cut off"


def test_status_of_a_revision(tmp_path, capsys, servers):
    (server,) = servers()
    fill(server, plans=3)
    server.confirmations = (confirmed(1, 2),)
    config = addresses(tmp_path, server)
    code, out, _ = told(capsys, "status", "--config", config, "--revision", "2")
    assert out.splitlines() == [
        "published 2",
        "the newest is 3",
        "in force in region north at 1 of 1",
        "in force everywhere",
    ]
    code, out, _ = told(capsys, "status", "--config", config, "--revision", "9")
    assert out.splitlines()[0] == "revision 9 is not published"
    assert out.splitlines()[-1] == "in force nowhere"
