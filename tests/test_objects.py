"""Objects of a watch: whole when their brackets are, cut anywhere, spoilt ones said at once."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackenloft.net import objects as module
from brackenloft.net.objects import MalformedError, Objects

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)


@given(
    st.lists(st.dictionaries(st.text(max_size=5), VALUES, max_size=4), max_size=3),
    st.sampled_from([None, 0, 1, 4]),
    st.booleans(),
    st.lists(st.integers(1, 40), min_size=1, max_size=30),
)
def test_objects_come_out_as_they_were_written_however_they_are_cut(documents, indent, ascii_only, cuts):
    body = b"\n".join(
        json.dumps(document, indent=indent, ensure_ascii=ascii_only).encode() + b"\n"
        for document in documents
    )
    objects, found, at, turn = Objects(), [], 0, 0
    while at < len(body):
        size = cuts[turn % len(cuts)]
        found += objects.feed(body[at : at + size])
        at, turn = at + size, turn + 1
    assert found == documents
    assert not objects.depth and not objects.rest and not objects.lines


@pytest.mark.parametrize(
    "body",
    [
        b"{not json\n",
        b"[]\n",
        b"7\n",
        b"}\n",
        b'{"a": "one\n',
        b'{"a": 1} {"b": 2}\n',
        b'{"a": 1}]\n',
        b'{\n  "a": {\n\n',
        b'{\n "a": 1\n}}\n',
        b'{"a" 1,\n',
        b"\xff\xfe\n",
        b'{\n"\xff": 1}\n',
        b'{\n"a": 1 "b": 2}\n',
    ],
)
def test_what_can_become_no_object_is_said_at_once(body):
    with pytest.raises(MalformedError):
        list(Objects().feed(body))


def test_an_object_without_end_is_bounded_on_one_line_and_on_many(monkeypatch):
    monkeypatch.setattr(module, "LONGEST", 1000)
    with pytest.raises(MalformedError):
        list(Objects().feed(b'{"a": "' + b"x" * 1000))
    objects = Objects()
    with pytest.raises(MalformedError):
        for _ in range(300):
            list(objects.feed(b'{"a":\n'))
