"""What the second address answers: paths, methods, and the lifecycle's events they stand for. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from brackenloft.lifecycle import Event, Lifecycle

EVENTS = {"/-/drain": Event.DRAIN, "/-/resume": Event.RESUME}
METHODS = {"/-/ready": "GET", "/-/metrics": "GET"} | dict.fromkeys(EVENTS, "POST")


@dataclass(frozen=True, slots=True)
class Response:
    """Status and document; ``allow`` names the method that there is."""

    status: HTTPStatus
    document: dict[str, Any]
    allow: str = ""


def problem(status: HTTPStatus, why: str) -> Response:
    """An error, in words."""
    return Response(status, {"error": why})


def respond(method: str, path: str, lifecycle: Lifecycle, figures: Callable[[], dict[str, Any]]) -> Response:
    """Carry out one call."""
    allowed = METHODS.get(path)
    if allowed is None:
        return problem(HTTPStatus.NOT_FOUND, f"there is no such call; there are {', '.join(METHODS)}")
    if method != allowed:
        return Response(HTTPStatus.METHOD_NOT_ALLOWED, {"error": f"{path} is called by {allowed}"}, allowed)
    if path == "/-/metrics":
        return Response(HTTPStatus.OK, figures())
    event = EVENTS.get(path)
    done = lifecycle.facts.ready if event is None else lifecycle.happens(event)
    if done:
        return Response(HTTPStatus.OK, {"state": lifecycle.state.value})
    if event is None:
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, {"state": lifecycle.state.value})
    return Response(
        HTTPStatus.CONFLICT,
        {"error": f"no {event.value} while {lifecycle.state.value}", "state": lifecycle.state.value},
    )
