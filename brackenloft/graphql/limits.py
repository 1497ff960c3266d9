"""What a document may be, each limit with its own code, and how it is turned away."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import StrEnum


class Code(StrEnum):
    """``extensions.code`` of an error."""

    BAD_REQUEST = "BAD_REQUEST"
    PARSE = "PARSE_FAILED"
    INVALID = "VALIDATION_FAILED"
    VARIABLES = "BAD_VARIABLES"
    OPERATION = "NO_SUCH_OPERATION"
    METHOD = "MUTATION_BY_GET"
    NOT_FOUND = "PERSISTED_QUERY_NOT_FOUND"
    MISMATCH = "PERSISTED_QUERY_MISMATCH"
    ONLY_PERSISTED = "ONLY_PERSISTED_QUERIES"
    BYTES = "TOO_MANY_BYTES"
    TOKENS = "TOO_MANY_TOKENS"
    DEPTH = "TOO_DEEP"
    ALIASES = "TOO_MANY_ALIASES"
    ROOT_FIELDS = "TOO_MANY_ROOT_FIELDS"
    DIRECTIVES = "TOO_MANY_DIRECTIVES"
    CYCLE = "FRAGMENT_CYCLE"
    FIELDS = "TOO_MANY_FIELDS"
    MERGES = "TOO_MANY_MERGES"
    READING = "TOO_MANY_NEW_DOCUMENTS"
    LIST_SIZE = "BAD_LIST_SIZE"
    COST = "TOO_COSTLY"
    KEY = "NO_IDEMPOTENCY_KEY"
    QUOTA = "OVER_QUOTA"
    BUSY = "BUSY"
    FAILED = "FAILED"
    NOT_RUN = "NOT_RUN"
    CLOSED = "CLOSED"


class Turned(Exception):  # noqa: N818
    """A request that is turned away before anything is done or charged. ``status``: of HTTP.

    ``back_ms``: when to come back, 0 where that is no help.
    """

    def __init__(self, code: Code, message: str, status: int = 400, back_ms: float = 0.0) -> None:
        super().__init__(message)
        self.code, self.message, self.status, self.back_ms = code, message, status, back_ms


@dataclass(frozen=True, slots=True)
class Limits:
    """Of one request. Each bounds what the next step may cost.

    ``fields`` are counted with fragments spread out. ``merges``: of fields of one response name in one place,
    the square of all that is below them, as validation compares each with each. ``cost`` is the static cost.
    ``list_size`` is assumed for a list of which the schema says nothing, ``most_list_size`` may be asked for.
    """

    body_bytes: int = 64 * 1024
    document_bytes: int = 16 * 1024
    tokens: int = 1000
    depth: int = 12
    aliases: int = 30
    root_fields: int = 20
    directives: int = 50
    fields: int = 1000
    merges: int = 5000
    cost: float = 10_000.0
    list_size: int = 10
    most_list_size: int = 1000
    introspection: bool = False

    def __post_init__(self) -> None:
        for name, value in asdict(self).items():
            if name != "introspection" and not value > 0:
                raise ValueError(f"{name}: not above 0: {value!r}")
