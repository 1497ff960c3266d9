"""Lines of the fleet's log: an event with its fields, ``event key=value`` for people, or JSON for machines.

They go through the standard library's logging like all others, so that a host's handlers, levels and rations
hold for them; nothing global is configured but by ``as_json``, for the handlers of a program of ours.
"""

from __future__ import annotations

import logging
from typing import Any, cast

import structlog
from structlog.stdlib import BoundLogger, ProcessorFormatter
from structlog.types import EventDict

LONGEST_FIELD = 300  # characters: guards against a line as long as what a peer sent


def _for_people(_logger: Any, _method: str, event: EventDict) -> dict[str, Any]:
    """What the standard logger is called with; the fields go along for who writes JSON."""
    text, exc_info = str(event.pop("event")), event.pop("exc_info", None)
    fields = {name: _shown(value) for name, value in event.items()}
    line = " ".join([text, *(f"{name}={value}" for name, value in fields.items() if value != "")])
    return {"msg": line, "exc_info": exc_info, "extra": {"event": text, "fields": fields}}


def _shown(value: object) -> object:
    if isinstance(value, bool | int | float):
        return value
    return str(value).encode(errors="replace").decode()[:LONGEST_FIELD].replace("\n", " ")


def _for_machines(_logger: Any, _method: str, event: EventDict) -> EventDict:
    """A record of ours becomes its event and fields; any other keeps its message."""
    record = event["_record"]
    if hasattr(record, "fields"):
        event["event"] = record.event
        event |= record.fields
    return event


def logger(name: str) -> BoundLogger:
    """A logger of events with fields."""
    made = structlog.wrap_logger(
        logging.getLogger(name),
        wrapper_class=BoundLogger,
        processors=[structlog.stdlib.filter_by_level, _for_people],
    )
    return cast(BoundLogger, made)


def as_json() -> None:
    """All handlers of this program write one JSON object a line."""
    shared: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        _for_machines,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    formatter = ProcessorFormatter(
        foreign_pre_chain=shared,
        processors=[
            ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(ensure_ascii=True),
        ],
    )
    for handler in logging.getLogger().handlers:
        handler.setFormatter(formatter)
