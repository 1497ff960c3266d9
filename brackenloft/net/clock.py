"""The clock of the gateway's decisions."""

import time


class Clock:
    """Unix time in milliseconds that never goes back.

    Guards against a system clock that is set while the gateway runs: read once, then counted on.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return (time.monotonic() + self._offset) * 1000.0
