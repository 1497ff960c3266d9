"""GraphQL over HTTP as a protocol of board nodes: commands, answers within bounds, and what each came to.

Has it run?

    never     it was not written whole; or the node says that it is full (503, 429, errors alone of that code)
    may have  no answer, half of one, another content type, errors alone, a status that is none of GraphQL's
    yes       an answer with ``data``, also where that is null or comes with errors
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import httptools

from brackenloft import interface as api
from brackenloft.net.attempt import Reply
from brackenloft.net.resp import ProtocolError

DOOR = "graphql"  # the name of these connections beside those of RESP2
MOST_ANSWER = 1024 * 1024  # bytes of a body: sixteen times a value by PROTOCOL, as its servers send too
MOST_HEAD = 16 * 1024
TYPES = ("application/graphql-response+json", "application/json")
FULL_STATUS = (429, 503)
FULL_CODES = ("BUSY", "OVERLOADED", "SERVICE_UNAVAILABLE")
PATH = "/graphql"


def command(
    host: str,
    document: str,
    operation: str | None,
    variables: Mapping[str, Any],
    key: str | None,
    request_id: str,
    customer: str,
    plan: str,
    class_name: str,
    wait_ms: float,
    units: float,
) -> bytes:
    """A request as it is written. ``variables`` are those of the document, as the client gave them."""
    body: dict[str, Any] = {"query": document}
    if operation:
        body["operationName"] = operation
    if variables:
        body["variables"] = variables
    data = json.dumps(body, ensure_ascii=False, separators=(",", ":")).encode("utf-8", "surrogatepass")
    lines = [
        f"POST {PATH} HTTP/1.1",
        f"Host: {host}",
        "Content-Type: application/json",
        f"Accept: {TYPES[0]}, {TYPES[1]};q=0.9",
        f"Content-Length: {len(data)}",
        f"X-Request-Id: {request_id}",
        f"X-Customer: {customer}",
        f"X-Plan: {plan}",
        f"X-Class: {class_name}",
        f"X-Units: {units:.9g}",
        f"Prefer: wait={max(1, round(wait_ms / 1000.0))}",
        f"X-Wait-Ms: {max(1, int(wait_ms))}",
    ]
    if key:
        lines.append(f'Idempotency-Key: "{key}"')
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace") + data


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    content_type: str
    body: bytes


class Answers:
    """Reads answers from what comes on a connection. ``left``: bytes that are held, or of no answer."""

    def __init__(self) -> None:
        self._renew()
        self.left = 0

    def _renew(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.kind, self.head, self.whole, self.keeps = "", 0, False, False
        self.behind = 0

    def feed(self, data: bytes) -> None:
        """Take in what has come. What can't be read is told by ``answer``."""
        if self.whole:
            self.left += len(data)
            return
        self.left += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ProtocolError(f"not HTTP: {error}") from error

    def answer(self) -> HttpAnswer | None:
        """The next answer, or None until it is whole; raises ProtocolError."""
        if not self.whole:
            return None
        found = HttpAnswer(self.parser.get_status_code(), self.kind, bytes(self.body))
        # A connection that the node is about to close, or that brought more, is of no further use.
        used_up = self.behind or not self.keeps
        self._renew()
        self.left = 1 if used_up else 0
        return found

    def opening(self, least: int) -> tuple[int, bytes] | None:
        """No value is passed on before it is whole: it is to be read first."""
        return None

    def may_be_long(self, least: int) -> bool:
        """Nor is it passed on, however long."""
        return False

    def piece(self, data: bytes) -> bytes:
        """Nor a piece of it."""
        raise ProtocolError("no value is passed on in pieces")

    # ---- Calls of the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field of the head."""
        self.head += len(name) + len(value)
        if self.head > MOST_HEAD:
            raise ProtocolError(f"a head of more than {MOST_HEAD} bytes")
        if name.lower() == b"content-type":
            self.kind = value.decode("latin-1").partition(";")[0].strip().lower()

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        if len(self.body) + len(body) > MOST_ANSWER:
            raise ProtocolError(f"a body of more than {MOST_ANSWER} bytes")
        self.body += body

    def on_message_begin(self) -> None:
        """An answer behind the one that is whole: nobody asked for it."""
        if self.whole:
            self.behind = 1

    def on_message_complete(self) -> None:
        """It is whole."""
        self.whole, self.keeps = True, bool(self.parser.should_keep_alive())


class GraphqlReplyDecoder:
    """What an answer came to. ``parsed`` of a good one is its document."""

    def decode(self, answer: HttpAnswer) -> Reply:
        """An answer as the table above has it."""
        if answer.status in FULL_STATUS:
            return Reply(api.Status.FULL)
        if answer.content_type not in TYPES:
            return Reply(api.Status.ERROR)
        try:
            document = json.loads(answer.body, parse_constant=_refuse)
        except (ValueError, RecursionError):
            return Reply(api.Status.ERROR)
        if not isinstance(document, dict) or not isinstance(document.get("errors", []), list):
            return Reply(api.Status.ERROR)
        if "data" in document and isinstance(document["data"], (dict, type(None))):
            return Reply(api.Status.OK, answer.body, parsed=document)
        codes = {_code(error) for error in document.get("errors") or [] if isinstance(error, dict)}
        return Reply(api.Status.FULL if codes and codes <= set(FULL_CODES) else api.Status.ERROR)


def _refuse(name: str) -> None:
    raise ValueError(f"{name} is no JSON")


def _code(error: dict[str, Any]) -> str:
    extensions = error.get("extensions")
    code = extensions.get("code") if isinstance(extensions, dict) else None
    return code if isinstance(code, str) else ""
