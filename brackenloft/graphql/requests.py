"""GraphQL over HTTP, from the client's side: what a request says, and how answers are written. Pure."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

from brackenloft.graphql.limits import Code, Limits, Turned

RESPONSE, JSON = "application/graphql-response+json", "application/json"
MOST_PARAMETERS = 16  # of a GET
MOST_VARIABLES_DEPTH = 32  # of lists and objects in one another, in the variables
HASH_LENGTH = 64


@dataclass(frozen=True, slots=True)
class Asked:
    """What a client asks. One of ``text`` and ``name`` (the hash of a persisted document) is there."""

    text: str | None
    name: str | None
    operation: str | None = None
    variables: Mapping[str, Any] = field(default_factory=dict)
    may_mutate: bool = True


def by_get(query: bytes, limits: Limits) -> Asked:
    """Of a GET. Raises Turned."""
    if len(query) > limits.body_bytes:
        raise Turned(Code.BYTES, f"a query string of more than {limits.body_bytes} bytes", 414)
    try:
        pairs = parse_qsl(
            query.decode("ascii"), keep_blank_values=True, max_num_fields=MOST_PARAMETERS, errors="strict"
        )
    except (ValueError, UnicodeDecodeError) as error:
        raise Turned(Code.BAD_REQUEST, "the query string can't be read") from error
    found = dict(pairs)
    if len(found) != len(pairs):
        raise Turned(Code.BAD_REQUEST, "a parameter stands twice")
    document: dict[str, Any] = {key: found[key] for key in ("query", "operationName") if key in found}
    for key in ("variables", "extensions"):
        if found.get(key):
            document[key] = _load(found[key], key)
    return _asked(document, may_mutate=False)


def by_post(content_type: str, body: bytes) -> Asked:
    """Of a POST. Raises Turned."""
    kind, _, more = content_type.partition(";")
    if kind.strip().lower() not in (JSON, RESPONSE):
        raise Turned(Code.BAD_REQUEST, f"the content is no {JSON}", 415)
    charset = more.strip().lower().replace(" ", "")
    if charset.startswith("charset=") and charset[8:].strip('"') not in ("utf-8", "utf8"):
        raise Turned(Code.BAD_REQUEST, "the content is not in UTF-8", 415)
    document = _load(body, "the body")
    if isinstance(document, list):
        raise Turned(Code.BAD_REQUEST, "batches are not served")
    return _asked(document, may_mutate=True)


def _load(text: str | bytes, where: str) -> Any:
    try:
        return json.loads(text, parse_constant=_no_number)
    except (ValueError, RecursionError) as error:
        raise Turned(Code.BAD_REQUEST, f"{where}: no JSON") from error


def _no_number(name: str) -> None:
    raise ValueError(f"{name} is no JSON")


def _asked(document: Any, may_mutate: bool) -> Asked:
    if not isinstance(document, dict):
        raise Turned(Code.BAD_REQUEST, "the request is no object")
    text, operation = document.get("query"), document.get("operationName")
    variables, extensions = document.get("variables"), document.get("extensions")
    for name, value, kind in (
        ("query", text, str),
        ("operationName", operation, str),
        ("variables", variables, dict),
        ("extensions", extensions, dict),
    ):
        if value is not None and not isinstance(value, kind):
            raise Turned(Code.BAD_REQUEST, f"{name}: not {'a text' if kind is str else 'an object'}")
    persisted = _persisted(extensions or {})
    if text is None and persisted is None:
        raise Turned(Code.BAD_REQUEST, "query: is missing")
    if _depth(variables) > MOST_VARIABLES_DEPTH:
        raise Turned(Code.DEPTH, f"variables: nested deeper than {MOST_VARIABLES_DEPTH}")
    return Asked(text, persisted, operation or None, variables or {}, may_mutate)


def _persisted(extensions: Mapping[str, Any]) -> str | None:
    said = extensions.get("persistedQuery")
    if said is None:
        return None
    name = said.get("sha256Hash") if isinstance(said, dict) else None
    if not isinstance(name, str) or len(name) != HASH_LENGTH or said.get("version") != 1:
        raise Turned(Code.BAD_REQUEST, "extensions.persistedQuery: not version 1 with a sha256Hash")
    return name.lower()


def _depth(value: Any) -> int:
    """How deep lists and objects are nested, as far as it matters."""
    depth, level = 0, [value]
    while level and depth <= MOST_VARIABLES_DEPTH:
        inner = [
            part
            for item in level
            if isinstance(item, (dict, list))
            for part in (item.values() if isinstance(item, dict) else item)
        ]
        depth, level = depth + 1, inner
    return depth


# ---- Answers


def accepted(accept: str) -> str | None:
    """The media type to answer in; None if the client takes none of ours."""
    weights: dict[str, float] = {}
    for part in accept.lower().split(","):
        kind, *parameters = [item.strip() for item in part.split(";")]
        weight = 1.0
        for item in parameters:
            if item.startswith("q="):
                try:
                    weight = float(item[2:])
                except ValueError:
                    weight = 0.0
        if kind:
            weights[kind] = weight
    if not weights:
        return JSON  # as clients of before the specification expect

    def weight_of(kind: str) -> float:
        return weights.get(kind, weights.get("application/*", weights.get("*/*", 0.0)))

    best = max((JSON, RESPONSE), key=weight_of)
    if weight_of(RESPONSE) == weight_of(best) and RESPONSE in weights:
        best = RESPONSE
    return best if weight_of(best) > 0.0 else None


def error(code: Code, message: str, path: list[str | int] | None = None, **more: Any) -> dict[str, Any]:
    """One entry of ``errors``."""
    found: dict[str, Any] = {"message": message}
    if path is not None:
        found["path"] = path
    found["extensions"] = {"code": code.value, **more}
    return found


def encode(document: Mapping[str, Any]) -> bytes:
    """The body of an answer."""
    return json.dumps(document, ensure_ascii=False, separators=(",", ":")).encode("utf-8", "surrogatepass")


def status_for(media_type: str, status: int, served: bool) -> int:
    """The status of an answer: for plain JSON, whatever is well-formed GraphQL is 200, but refusals.

    ``served``: there is ``data``, in part at least.
    """
    if served:
        return 200
    if media_type == JSON and status == 400:
        return 200
    return status
