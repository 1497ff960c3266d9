"""``brackenloft ops CALL``: calls a gateway's second address, for people and for scripts.

Exits 0 for a yes, 1 for a no (not ready; a call out of place), 2 where no answer came that can be read.
"""

from __future__ import annotations

import argparse
import http.client
import json
import sys
import time
from typing import Any

CALLS = {
    "ready": ("GET", "/-/ready"),
    "metrics": ("GET", "/-/metrics"),
    "drain": ("POST", "/-/drain"),
    "resume": ("POST", "/-/resume"),
}
YES, NO, NO_ANSWER = 0, 1, 2
ANSWER_S = 2.0  # answers are owed in 1 s
AGAIN_S = 0.05  # between two calls while one waits for a yes
MOST_WAIT_S = 60.0


def add_to(parser: argparse.ArgumentParser) -> None:
    """The call's words."""
    parser.add_argument("call", choices=CALLS)
    parser.add_argument("--at", default="127.0.0.1:9800", metavar="HOST:PORT", help="the second address")
    parser.add_argument("--json", action="store_true", help="the answer as it came")
    parser.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="with ready: ask again until it says yes, so long at most",
    )


def run(options: argparse.Namespace) -> int:
    """Carry out one call; the exit code."""
    host, _, port = options.at.rpartition(":")
    if not host or not port.isdecimal() or not 0.0 <= options.wait <= MOST_WAIT_S:
        print(f"brackenloft: --at is HOST:PORT, --wait at most {MOST_WAIT_S:g} seconds", file=sys.stderr)
        return NO_ANSWER
    end = time.monotonic() + (options.wait if options.call == "ready" else 0.0)
    while True:
        status, document = _ask(host, int(port), *CALLS[options.call])
        if status == YES or time.monotonic() >= end:
            break
        time.sleep(AGAIN_S)
    if status == NO_ANSWER:
        print(f"brackenloft: no answer from {options.at}: {document['error']}", file=sys.stderr)
    elif options.json:
        print(json.dumps(document))
    elif options.call == "metrics":
        print(_table(document))
    else:
        print(document.get("error") or document.get("state", ""))
    return status


def _ask(host: str, port: int, method: str, path: str) -> tuple[int, dict[str, Any]]:
    connection = http.client.HTTPConnection(host, port, timeout=ANSWER_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        document = json.loads(response.read())
        if not isinstance(document, dict):
            raise ValueError("the answer is no object")
        return (YES if response.status < 300 else NO), document
    except (OSError, http.client.HTTPException, ValueError) as error:
        return NO_ANSWER, {"error": str(error) or type(error).__name__}
    finally:
        connection.close()


def _table(document: dict[str, Any]) -> str:
    """The figures for people: a line for each class, then the rest."""
    lines = [f"{'class':24}{'passed':>10}{'dropped':>10}{'bad_gateway':>13}"]
    for name, row in document["handled"].items():
        lines.append(f"{name:24}{row['passed']:>10}{row['dropped']:>10}{row['bad_gateway']:>13}")
    lines += _lines("", {name: value for name, value in document.items() if name != "handled"})
    return "\n".join(lines)


def _lines(place: str, table: dict[str, Any]) -> list[str]:
    """A line for each figure, those of a part under its name."""
    lines = []
    for name, value in table.items():
        if isinstance(value, dict):
            lines += _lines(f"{place}{name}.", value)
        else:
            shown = " ".join(map(str, value)) if isinstance(value, list) else value
            lines.append(f"{place + name:36}{shown!s:>10}" if place else f"{name:24}{shown!s:>10}")
    return lines
