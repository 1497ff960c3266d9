"""A board node that speaks GraphQL over HTTP: runs documents on made-up data, and fails by a script.

Reads with httptools and runs with graphql-core's own execution, so that what it answers is none of our doing.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import OrderedDict
from typing import Any

import httptools
from graphql import (
    GraphQLEnumType,
    GraphQLObjectType,
    GraphQLResolveInfo,
    GraphQLSchema,
    execute,
    get_named_type,
    is_abstract_type,
    is_list_type,
    is_non_null_type,
    parse,
    validate,
)

from brackenloft.standins.board import KEY_MEMORY_S, MOST_KEYS
from brackenloft.standins.faults import Fault, Script
from brackenloft.standins.meter import Meter
from brackenloft.standins.ports import ReservedPort

USUAL_LIST = 3  # entries of a list that no argument sizes
SCALARS: dict[str, Any] = {"Int": 7, "Float": 7.5, "String": "text", "ID": "id-7", "Boolean": True}


def value_of(schema: GraphQLSchema, kind: Any, size: int) -> Any:
    """A made-up value of a type."""
    if is_non_null_type(kind):
        return value_of(schema, kind.of_type, size)
    if is_list_type(kind):
        return [value_of(schema, kind.of_type, size) for _ in range(size)]
    named = get_named_type(kind)
    if is_abstract_type(named):
        return {"__typename": schema.get_possible_types(named)[0].name, "first": size}
    if isinstance(named, GraphQLObjectType):
        return {"__typename": named.name, "first": size}
    if isinstance(named, GraphQLEnumType):
        return next(iter(named.values))
    return SCALARS.get(named.name, "text")


class GraphqlBoard:
    """A node. ``runs`` counts how often each root field of a mutation has run, by request and field.

    ``more``: entries that each list has beyond what was asked for. ``failing``: names of root fields that end
    in an error after they have run.
    """

    def __init__(
        self,
        schema: GraphQLSchema,
        work_s: float = 0.0,
        script: Script | None = None,
        meter: Meter | None = None,
        more: int = 0,
        slow_s: float = 0.5,
    ) -> None:
        self.schema, self.work_s, self.script, self.meter = schema, work_s, script, meter
        self.more, self.slow_s = more, slow_s
        self.failing: set[str] = set()
        self.runs: dict[tuple[str, str], int] = {}
        self.begun: list[tuple[float, str]] = []
        self.documents: list[str] = []
        self.keys: OrderedDict[tuple[str, str], tuple[float, bytes]] = OrderedDict()
        self.draining = False
        self.connections = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.reserved: ReservedPort | None = None
        self.port = 0

    async def start(self) -> GraphqlBoard:
        """Listen on loopback; at the same port as before, if it has had one."""
        if not self.port:
            self.reserved = ReservedPort()
            self.port = self.reserved.number
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    def close(self) -> None:
        """Die: connections are reset, new ones refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            asking = _Request()
            while data := await reader.read(65536):
                asking.feed(data)
                if asking.whole:
                    if not await self._answer(asking, writer):
                        break
                    asking = _Request()
        except (OSError, httptools.HttpParserError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, asking: _Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; whether the connection goes on."""
        fault = self.script([b"CALL.GET"]) if self.script else None
        if fault is Fault.HANG_UP:
            return False
        if fault is Fault.BUSY or self.draining:
            _write(writer, 503, {"errors": [{"message": "full", "extensions": {"code": "BUSY"}}]})
            return True
        headers, body = asking.headers, json.loads(asking.body)
        if self.meter:
            self.meter.count(
                headers["x-request-id"].encode(),
                headers["x-plan"],
                headers["x-customer"],
                float(headers["x-units"]),
            )
        await asyncio.sleep(self.work_s + (self.slow_s if fault is Fault.SLOW else 0.0))
        answer = self._once(headers, body)
        if fault is Fault.SILENT:
            await asyncio.Event().wait()  # until the connection ends
        if fault is Fault.ERROR:
            _write(writer, 200, {"errors": [{"message": "failed"}]})
        elif fault is Fault.SPOILT:
            _write(writer, 200, None, b"<html></html>", "text/html")
        elif fault is Fault.RESET:
            _write(writer, 200, None, answer, cut=True)
            return False
        else:
            _write(writer, 200, None, answer)
        return True

    def _once(self, headers: dict[str, str], body: dict[str, Any]) -> bytes:
        """Run it, unless its key has been seen: a repeat is answered as the first one was."""
        key, now = (headers["x-customer"], headers.get("idempotency-key", "")), time.monotonic()
        if key[1] and key in self.keys and now - self.keys[key][0] < KEY_MEMORY_S:
            return self.keys[key][1]
        answer = json.dumps(self.run(body, headers.get("x-request-id", ""))).encode()
        if key[1]:
            self.keys[key] = (now, answer)
            if len(self.keys) > MOST_KEYS:
                self.keys.popitem(last=False)
        return answer

    def run(self, body: dict[str, Any], request_id: str = "") -> dict[str, Any]:
        """What the document comes to, by graphql-core."""
        self.begun.append((time.monotonic(), request_id))
        self.documents.append(body["query"])
        document = parse(body["query"])
        errors = validate(self.schema, document)
        if errors:
            return {"errors": [error.formatted for error in errors]}

        def resolve(source: Any, info: GraphQLResolveInfo, **arguments: Any) -> Any:
            if source is None and info.operation.operation.value == "mutation":
                run = (request_id, str(info.path.key))
                self.runs[run] = self.runs.get(run, 0) + 1
            if source is None and info.field_name in self.failing:
                raise ValueError(f"{info.field_name} has failed")
            first = arguments.get("first")
            inherited = source.get("first") if isinstance(source, dict) else None
            size = first if first is not None else inherited if inherited is not None else USUAL_LIST
            return value_of(self.schema, info.return_type, size + self.more)

        result: Any = execute(
            self.schema,
            document,
            None,
            variable_values=body.get("variables"),
            operation_name=body.get("operationName"),
            field_resolver=resolve,
            type_resolver=lambda value, info, kind: value["__typename"],
        )
        return dict(result.formatted)


class _Request:
    """One request as it is read."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.headers: dict[str, str] = {}
        self.body, self.whole = b"", False
        self.feed = self.parser.feed_data

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field of the head."""
        self.headers[name.decode().lower()] = value.decode().strip('"')

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """It is whole."""
        self.whole = True


def _write(
    writer: asyncio.StreamWriter,
    status: int,
    document: Any,
    body: bytes = b"",
    kind: str = "application/graphql-response+json",
    cut: bool = False,
) -> None:
    if document is not None:
        body = json.dumps(document).encode()
    head = f"HTTP/1.1 {status} Told\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode())
    writer.write(body[: len(body) // 2] if cut else body)
