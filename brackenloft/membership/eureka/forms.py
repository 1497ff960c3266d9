"""A registry's documents, read piece by piece as they come: JSON and XML, to the same instances.

Push parsers without I/O: ``feed`` takes what has come and gives the instances that are whole by then; ``end``
says whether the document was. Guards against holding the loop for a list of megabytes, and against keeping
more of it than one instance. A document that breaks off, or is none, raises FormError; what its instances
say is read elsewhere, each by itself.
"""

from __future__ import annotations

import codecs
import json
from collections.abc import Iterator
from typing import Any
from xml.parsers import expat

MOST_VALUE = 256 * 1024  # characters of one instance, or of any other value: a hundred times a usual one
MOST_DEPTH = 8  # of what is looked into: applications, application, instance and lists of these
MOST_ELEMENTS = 2000  # of one instance in XML
RETRY_GROWTH = 1.5  # a value that is not whole is read again when so many times as much of it has come
INTO = ("applications", "application")  # keys whose values are looked into
VERSION, HASHCODE = "versions__delta", "apps__hashcode"
Raw = dict[str, Any]


class FormError(ValueError):
    """A document that can't be read."""


class JsonForm:
    """JSON. Lists with one element may be that element alone, as some servers write them."""

    def __init__(self) -> None:
        self.decode = codecs.getincrementaldecoder("utf-8")().decode
        self.scan = json.JSONDecoder().raw_decode
        self.text, self.place = "", 0
        self.stack: list[str] = []  # of what is open: "{" or "["
        self.keys: list[str] = [""]  # the key that each of these, and what comes next, belongs to
        self.wants = "value"  # "value", "key", "first key", "first value", "comma" or "end"
        self.retry = 0  # characters of a value from which it is read again
        self.head: Raw = {}  # version and hash of the list
        self.is_list = False  # a list of applications, or one of them, was seen

    def feed(self, data: bytes) -> Iterator[Raw]:
        """Instances that are whole now. Iterate to the end before feeding more."""
        try:
            more = self.decode(data)
        except UnicodeDecodeError as error:
            raise FormError(f"no UTF-8: {error.reason}") from error
        self.text, self.place = self.text[self.place :] + more, 0
        return self._run()

    def _run(self) -> Iterator[Raw]:
        while self.wants != "end" and self._skip():
            before = self.place
            raw = self._step()
            if raw is not None:
                yield raw
            elif self.place == before:
                if len(self.text) - self.place > MOST_VALUE:
                    raise FormError(f"a value of more than {MOST_VALUE} characters, or none")
                return

    def end(self) -> list[Raw]:
        """No more comes: the last instances. Raises FormError if the document is not whole."""
        self.retry = 0
        last = list(self._run())
        if self.wants != "end":
            raise FormError("the document is not whole")
        if not self.is_list:
            raise FormError("no list of applications")
        return last

    def _skip(self) -> bool:
        text, place, size = self.text, self.place, len(self.text)
        while place < size and text[place] in " \t\r\n":
            place += 1
        self.place = place
        return place < size

    def _step(self) -> Raw | None:
        """Read what comes next, or nothing of it if it is not whole yet."""
        char = self.text[self.place]
        if self.wants == "comma":
            self._after(char)
        elif self.wants in ("key", "first key"):
            if char == "}" and self.wants == "first key":
                self._close()
            else:
                self._key(char)
        elif char == "]" and self.wants == "first value":
            self._close()
        elif char == "{" and self.keys[-1] == "instance":
            return self._instance()
        elif char in "{[" and self.keys[-1] in (*INTO, "instance", ""):
            self._open(char)
        else:
            self._value()
        return None

    def _open(self, char: str) -> None:
        if len(self.stack) >= MOST_DEPTH:
            raise FormError("nested too deep")
        self.is_list = self.is_list or self.keys[-1] in INTO
        self.stack.append(char)
        self.keys.append(self.keys[-1] if char == "[" else "")
        self.place += 1
        self.wants = "first value" if char == "[" else "first key"

    def _close(self) -> None:
        self.stack.pop()
        self.keys.pop()
        self.place += 1
        self.wants = "comma" if self.stack else "end"

    def _after(self, char: str) -> None:
        inside = self.stack[-1]
        if char == ",":
            self.place += 1
            self.wants = "value" if inside == "[" else "key"
        elif char == ("]" if inside == "[" else "}"):
            self._close()
        else:
            raise FormError(f"{char!r} where a comma or an end belongs")

    def _key(self, char: str) -> None:
        """A key and its colon, both or nothing."""
        if char != '"':
            raise FormError(f"{char!r} where a key belongs")
        read = self._scan()
        if read is None:
            return
        key, end = read
        while end < len(self.text) and self.text[end] in " \t\r\n":
            end += 1
        if end == len(self.text):
            return
        if self.text[end] != ":":
            raise FormError("a key without a colon")
        self.keys[-1] = str(key) or "?"
        self.place, self.wants = end + 1, "value"

    def _instance(self) -> Raw | None:
        read = self._scan()
        if read is None:
            return None
        raw, self.place = read
        self.wants = "comma"
        assert isinstance(raw, dict)
        return raw

    def _value(self) -> None:
        read = self._scan()
        if read is None:
            return
        value, end = read
        if end == len(self.text) and isinstance(value, (int, float)):
            return  # more of the number may come
        self.place, key = end, self.keys[-1]
        if key in (VERSION, HASHCODE):
            self.head[key] = value
        self.wants = "comma" if self.stack else "end"

    def _scan(self) -> tuple[Any, int] | None:
        """The value that begins here and where it ends; None if it is not whole yet.

        Guards against reading a large value again at each byte that comes of it.
        """
        come = len(self.text) - self.place
        if come < self.retry:
            return None
        try:
            value, end = self.scan(self.text, self.place)
        except (json.JSONDecodeError, RecursionError) as error:
            if come > MOST_VALUE:
                raise FormError(f"no JSON: {error}") from error
            self.retry = int(come * RETRY_GROWTH) + 1
            return None
        self.retry = 0
        return value, end


class XmlForm:
    """XML. Nothing is looked up outside, and there are no entities of the document's own."""

    def __init__(self) -> None:
        self.parser = expat.ParserCreate()
        self.parser.buffer_text = True
        self.parser.StartElementHandler = self._start
        self.parser.EndElementHandler = self._end
        self.parser.CharacterDataHandler = self._data
        self.parser.StartDoctypeDeclHandler = self._refuse
        self.head: Raw = {}
        self.open: list[tuple[str, Raw, dict[str, str], list[str]]] = []  # within an instance, or the head
        self.path: list[str] = []
        self.is_list = False
        self.size = self.elements = 0
        self.ready: list[Raw] = []

    def feed(self, data: bytes) -> Iterator[Raw]:
        """Instances that are whole now."""
        try:
            self.parser.Parse(data, False)
        except expat.ExpatError as error:
            raise FormError(f"no XML: {error}") from error
        ready, self.ready = self.ready, []
        yield from ready

    def end(self) -> list[Raw]:
        """No more comes: the last instances. Raises FormError if the document is not whole."""
        try:
            self.parser.Parse(b"", True)
        except expat.ExpatError as error:
            raise FormError(f"the document is not whole: {error}") from error
        if not self.is_list:
            raise FormError("no list of applications")
        return self.ready

    def _refuse(self, *_: Any) -> None:
        raise FormError("a document type of its own")

    def _start(self, name: str, attributes: dict[str, str]) -> None:
        if not self.open and name != "instance" and name not in (VERSION, HASHCODE):
            if len(self.path) >= MOST_DEPTH:
                raise FormError("nested too deep")
            self.path.append(name)
            self.is_list = self.is_list or self.path[0] in INTO
            return
        if not self.open:
            self.size = self.elements = 0
        self.elements += 1
        if self.elements > MOST_ELEMENTS:
            raise FormError(f"an instance of more than {MOST_ELEMENTS} elements")
        self.open.append((name, {}, attributes, []))

    def _data(self, text: str) -> None:
        if self.open:
            self.size += len(text)
            if self.size > MOST_VALUE:
                raise FormError(f"an instance of more than {MOST_VALUE} characters")
            self.open[-1][3].append(text)

    def _end(self, name: str) -> None:
        if not self.open:
            self.path.pop()
            return
        _, children, attributes, texts = self.open.pop()
        text = "".join(texts).strip()
        value: Any = children or text
        if "enabled" in attributes:
            value = {"$": text, "@enabled": attributes["enabled"]}
        if self.open:
            self.open[-1][1][name] = value
        elif name == "instance":
            self.ready.append(children)
        else:
            self.head[name] = value


def form_of(content_type: str) -> JsonForm | XmlForm:
    """The reader of a document of this type. Raises FormError."""
    kind = content_type.partition(";")[0].strip().lower()
    if kind in ("application/json", "text/json"):
        return JsonForm()
    if kind in ("application/xml", "text/xml"):
        return XmlForm()
    raise FormError(f"neither JSON nor XML: {kind!r:.60}")
