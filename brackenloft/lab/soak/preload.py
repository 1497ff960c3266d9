"""The library that is preloaded into a gateway process, and the memory that it is steered through."""

from __future__ import annotations

import mmap
import os
import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("system_calls.c")
PORTS = 65536
COUNTER = struct.Struct("=Q")
SIGNED = struct.Struct("=q")
CLOCK_STEP_AT = PORTS * COUNTER.size
FAIL_PERCENT_AT = CLOCK_STEP_AT + SIGNED.size
BAD_CLOSES_AT = FAIL_PERCENT_AT + SIGNED.size
CONTROL_BYTES = BAD_CLOSES_AT + COUNTER.size


def build(folder: Path) -> Path:
    """Compile the library; its path. CalledProcessError where there is no C compiler that takes it."""
    library = folder / "system_calls.so"
    words = ["cc", "-O1", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(words, check=True)
    return library


class Preload:
    """The control block of one gateway, kept over restarts of its process."""

    def __init__(self, library: Path, path: Path, seed: int) -> None:
        self.library, self.path, self.seed = library, path, seed
        path.write_bytes(bytes(CONTROL_BYTES))
        descriptor = os.open(path, os.O_RDWR)
        self.memory = mmap.mmap(descriptor, CONTROL_BYTES)
        os.close(descriptor)

    def environment(self) -> dict[str, str]:
        """What the process is started with."""
        return {
            "LD_PRELOAD": str(self.library),
            "PRELOAD_CONTROL": str(self.path),
            "PRELOAD_SEED": str(self.seed),
        }

    def bytes_read(self, client_port: int) -> int:
        """What the process has read from the client of this port."""
        count: int = COUNTER.unpack_from(self.memory, client_port * COUNTER.size)[0]
        return count

    def bad_closes(self) -> int:
        """How often the process has closed a descriptor that was not open: one that has two owners."""
        count: int = COUNTER.unpack_from(self.memory, BAD_CLOSES_AT)[0]
        return count

    def step_clock(self, seconds: int) -> None:
        """The process's wall clock is off by so much from now on."""
        SIGNED.pack_into(self.memory, CLOCK_STEP_AT, seconds)

    def fail_calls(self, percent: int) -> None:
        """So many of its system calls fail or come short from now on."""
        SIGNED.pack_into(self.memory, FAIL_PERCENT_AT, percent)

    def close(self) -> None:
        """Nothing is steered any more."""
        self.memory.close()
