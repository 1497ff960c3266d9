"""Ids of requests that the other process of a gateway has sent on: read from its documents and remembered."""

from __future__ import annotations

from typing import Any

from brackenloft.handover.state import LARGEST, LONGEST_NAME, StateError
from brackenloft.net.driver import Driver
from brackenloft.net.sent_requests import MOST_REMEMBERED, REMEMBERED_MS

SentAges = list[tuple[str, float]]  # ids and ages in milliseconds


def _id(value: Any) -> str:
    if not isinstance(value, str) or len(value) > LONGEST_NAME:
        raise StateError("no id of a request")
    return value


def _rows(value: Any) -> list[Any]:
    if not isinstance(value, list) or len(value) > MOST_REMEMBERED:
        raise StateError("no list of ids, or a long one")
    return value


def read_sent(rows: Any) -> SentAges:
    """Those that were sent on before, each with its age in milliseconds. Raises StateError.

    Those that are remembered no more are left out: a process that has sent nothing on for minutes tells them.
    """
    found: SentAges = []
    for row in _rows(rows):
        if not isinstance(row, list) or len(row) != 2 or type(row[1]) not in (int, float):
            raise StateError("no age of a request")
        if not 0.0 <= row[1] <= LARGEST:
            raise StateError("an age that can't be")
        if row[1] < REMEMBERED_MS:
            found.append((_id(row[0]), float(row[1])))
    return found


def adopt_sent(driver: Driver, found: SentAges) -> None:
    """Remember them as sent on elsewhere."""
    now = driver.clock()
    for request_id, age_ms in found:
        driver.sent_requests.note(request_id, now - age_ms, elsewhere=True)


def note_sent(driver: Driver, ids: Any) -> None:
    """Those that are sent on now. Raises StateError."""
    now = driver.clock()
    for request_id in [_id(value) for value in _rows(ids)]:
        driver.sent_requests.note(request_id, now, elsewhere=True)
