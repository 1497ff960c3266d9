"""System calls that fail for a moment: tried again a few times, where nothing else waits for them yet."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR})
TRIES, AGAIN_S = 20, 0.025


def tried_again(call: Callable[[], T]) -> T:
    """What the call returns, in one of ``TRIES``; an error that does not pass by itself is raised at once."""
    for _ in range(TRIES - 1):
        try:
            return call()
        except OSError as error:
            if error.errno not in ERRORS:
                raise
            time.sleep(AGAIN_S)
    return call()
