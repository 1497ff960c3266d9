"""Operators' files: a document or a change, and every value that is none, with its path."""

from __future__ import annotations

import msgspec
import pytest
from configuration_strategies import deltas
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.configuration import document_file
from brackenloft.configuration.document_file import FaultyFile, UnreadableFile, load, read
from brackenloft.configuration.model import Delta, Items, Match, Names, Plan, Route, Service, Target, Tenant

DOCUMENT = """
[[services]]
name = "board"

[[routes]]
name = "read"
match = { request_class = "read-board" }
targets = [{ service = "board", weight = 3 }]

[[plans]]
name = "basic"
rate = 1
burst = 5.0

[[tenants]]
name = "00000000000000aa"
plan = "basic"
"""
ITEMS = Items(
    (Service("board"),),
    (Route("read", Match("read-board"), (Target("board", 3),)),),
    (Plan("basic", 1.0, 5.0),),
    (Tenant("00000000000000aa", "basic"),),
)


def file(folder, name: str, text: str):
    path = folder / name
    path.write_text(text)
    return path


def told(table: object) -> list[tuple[str, str]]:
    with pytest.raises(FaultyFile) as caught:
        read(table)
    return [(fault.path, fault.reason) for fault in caught.value.faults]


def test_a_document_is_read_from_toml_and_json(tmp_path):
    found = load(file(tmp_path, "a.toml", DOCUMENT))
    assert found == ITEMS
    assert type(found.plans[0].rate) is float
    assert load(file(tmp_path, "a.json", msgspec.json.encode(ITEMS).decode())) == ITEMS
    assert load(file(tmp_path, "empty.toml", "")) == Items()


def test_a_change_is_read(tmp_path):
    text = 'base = 7\n[put]\nplans = [{ name = "p" }]\n[remove]\ntenants = ["00000000000000aa"]\n'
    expected = Delta(7, Items(plans=(Plan("p"),)), Names(tenants=("00000000000000aa",)))
    assert load(file(tmp_path, "a.toml", text)) == expected


@settings(derandomize=True, deadline=None)
@given(deltas(3))
def test_whatever_was_written_is_read(delta):
    assert read(msgspec.json.decode(msgspec.json.encode(delta))) == delta
    assert read(msgspec.json.decode(msgspec.json.encode(delta.put))) == delta.put


def test_all_faults_of_a_file_are_told_with_their_paths():
    table = {
        "servises": [],
        "services": {"name": "x"},
        "routes": [{"name": "r", "match": {"klass": "x"}, "targets": [{"service": 1}, {"weight": True}]}],
        "plans": [{"name": "p", "ratee": 1.0, "rate": "fast"}, {"name": 5}, "gold"],
        "tenants": [{"name": "t"}],
    }
    assert told(table) == [
        ("servises", "no such key"),
        ("services", "not a list: {'name': 'x'}"),
        ("routes.r.match.klass", "no such key"),
        ("routes.r.targets[0].service", "Expected `str`, got `int`"),
        ("routes.r.targets[1].service", "is missing"),
        ("routes.r.targets[1].weight", "Expected `int`, got `bool`"),
        ("plans.p.ratee", "no such key"),
        ("plans.p.rate", "Expected `float`, got `str`"),
        ("plans[1].name", "Expected `str`, got `int`"),
        ("plans[2]", "not a table: 'gold'"),
        ("tenants.t.plan", "is missing"),
    ]


def test_a_change_needs_its_base_and_no_keys_of_a_document():
    assert told({"put": {}, "plans": []}) == [("plans", "no such key"), ("base", "is missing")]
    assert told([]) == [("", "not a table: []")]


@settings(derandomize=True, deadline=None)
@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["services", "plans", "put", "name", "rate", "targets", "x\n"]),
                inner,
                max_size=4,
            )
        ),
    )
)
def test_any_content_is_read_or_refused_with_faults(table):
    try:
        read(table)
    except FaultyFile as error:
        assert error.faults
        assert all(fault.reason for fault in error.faults)


@pytest.mark.parametrize(("name", "text"), [("a.json", "{"), ("a.toml", "a = "), ("a.json", "[" * 100_000)])
def test_a_file_that_is_no_toml_or_json_is_one_error(tmp_path, name, text):
    with pytest.raises(UnreadableFile, match=name):
        load(file(tmp_path, name, text))


def test_a_file_that_is_missing_no_text_or_too_long(tmp_path, monkeypatch):
    with pytest.raises(UnreadableFile, match="No such file"):
        load(tmp_path / "none.toml")
    (tmp_path / "binary.toml").write_bytes(b"\xff\xfe")
    with pytest.raises(UnreadableFile):
        load(tmp_path / "binary.toml")
    monkeypatch.setattr(document_file, "LONGEST_FILE_BYTES", 10)
    with pytest.raises(UnreadableFile, match="longer than 10"):
        load(file(tmp_path, "long.json", "[1,2,3,4,5,6]"))
