"""The file that switches the GraphQL front on: where it listens, which schema, what it costs, its limits."""

from __future__ import annotations

import json
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from brackenloft import config as files
from brackenloft import interface as api
from brackenloft.config import Address, ConfigError
from brackenloft.edge.edge import Edge
from brackenloft.graphql.allowance import Reading
from brackenloft.graphql.documents import Documents
from brackenloft.graphql.front import GraphQLFront, HeaderCallers, Price
from brackenloft.graphql.limits import Limits, Turned
from brackenloft.graphql.nodes import DOOR, Answers, GraphqlReplyDecoder
from brackenloft.graphql.schema import SchemaError, load
from brackenloft.net.server_protocol import ServerProtocol

MOST_FILE = 1024 * 1024  # bytes of a schema or a document


@dataclass(frozen=True, slots=True)
class Document:
    """The file. ``port_offset``: a node speaks GraphQL so many ports above the one that is listed.

    ``documents``: a folder with the texts of persisted documents, ``*.graphql``; ``only_documents``: no other
    is served. ``plan``: of callers that name none.
    """

    listen: str
    schema: str
    port_offset: int = 0
    path: str = "/graphql"
    plan: str | None = None
    documents: str | None = None
    only_documents: bool = False
    kept_documents: int = 1000
    limits: Limits = field(default_factory=Limits)
    price: Price = field(default_factory=Price)
    reading: Reading = field(default_factory=Reading)


@dataclass(frozen=True, slots=True)
class Loaded:
    """A file that was read and checked, with what it names."""

    listen: Address
    document: Document
    documents: Documents


def read(path: Path, settings: api.Settings) -> Loaded:
    """Read and check a file; ConfigError for whatever is wrong with it or what it names."""
    try:
        text = path.read_text()
        table = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error
    try:
        return _load(files.build(Document, table, ""), path.parent, settings)
    except (ConfigError, SchemaError) as error:
        raise ConfigError(f"{path}: {error}") from error


def _load(document: Document, place: Path, settings: api.Settings) -> Loaded:
    listen = files.address(document.listen, "listen")
    if abs(document.port_offset) > files.LAST_PORT:
        raise ConfigError(f"port_offset: no distance of two ports: {document.port_offset}")
    if not document.path.startswith("/"):
        raise ConfigError(f"path: not from the root: {document.path!r:.60}")
    if document.plan is not None and document.plan not in {item.name for item in settings.plans}:
        raise ConfigError(f"plan: no such plan: {document.plan!r:.60}")
    if document.kept_documents < 1:
        raise ConfigError(f"kept_documents: not above 0: {document.kept_documents}")
    priced = load(_text(place / document.schema, "schema"), settings)
    allowed = []
    if document.documents is not None:
        for file in sorted((place / document.documents).glob("*.graphql")):
            allowed.append((file.name, _text(file, "documents")))
    texts = tuple(text for _, text in allowed)
    try:
        documents = Documents(
            priced, document.limits, texts, document.only_documents, document.kept_documents
        )
    except Turned as error:
        raise ConfigError(f"documents: {error.message}") from error
    return Loaded(listen, document, documents)


def _text(path: Path, key: str) -> str:
    try:
        if path.stat().st_size > MOST_FILE:
            raise ConfigError(f"{key}: {path} has more than {MOST_FILE} bytes")
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{key}: {error}") from error


def front(loaded: Loaded, edge: Edge) -> GraphQLFront:
    """The front of an open edge."""
    offset = loaded.document.port_offset
    protocol = ServerProtocol(Answers, GraphqlReplyDecoder())
    edge.open_door(DOOR, protocol, lambda address: (address[0], address[1] + offset))
    return GraphQLFront(
        edge,
        loaded.documents,
        loaded.document.price,
        HeaderCallers(loaded.document.plan),
        loaded.document.path,
        loaded.document.reading,
    )
