"""``brackenloft call``: a client that sends one command to a gateway and prints its one answer."""

from __future__ import annotations

import argparse
import asyncio
import re
import secrets
import sys

from brackenloft.net.wire import decimal
from brackenloft.standins.peer import Peer, resp

REFUSED, FAILED = 1, 2  # exit codes


def run(options: argparse.Namespace) -> int:
    """Ask a gateway one thing; the exit code: 0 served, ``REFUSED`` or ``FAILED``."""
    try:
        text = options.customer
        customer = text.lower() if re.fullmatch("[0-9a-fA-F]{16}", text) else f"{int(text):016x}"
        host, _, port = options.at.rpartition(":")
        return asyncio.run(_ask(options, customer, host, int(port)))
    except ValueError as error:
        print(f"brackenloft: {error}", file=sys.stderr)
    except (OSError, TimeoutError) as error:
        print(f"brackenloft: no answer from {options.at}: {error!r}", file=sys.stderr)
    return FAILED


async def _ask(options: argparse.Namespace, customer: str, host: str, port: int) -> int:
    key = f"k={options.key}," if options.key else ""
    listed = (
        f"c={options.kind},t={options.plan},d={options.patience_ms},{key}"
        f"units={decimal(options.units)},spread={options.spread},first={options.first}"
    )
    words = ["CALL.GET" if options.body is None else "CALL.POST", customer, secrets.token_hex(8), listed]
    async with asyncio.timeout(options.patience_ms / 1000.0 + 1.0):
        peer = await Peer().open(port, host)
        answer = await peer.ask(resp(*words, *([] if options.body is None else [options.body])))
    peer.writer.close()
    if isinstance(answer, bytes):
        sys.stdout.buffer.write(answer + b"\n")
        return 0
    print(answer or "the connection ended without an answer")
    return REFUSED if answer and answer.startswith("-BUSY") else FAILED
