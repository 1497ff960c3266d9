"""What a process with a limit on its memory can learn and change of it: allocator, resident pages."""

from __future__ import annotations

import ctypes
import re
from contextlib import suppress
from pathlib import Path

M_MMAP_THRESHOLD = -3  # of mallopt(3), glibc
MAPPED_FROM = 128 * 1024  # bytes of an allocation that is mapped by itself: glibc's own figure at the start
MADV_DONTNEED = 4  # of madvise(2)
MAPS, STATUS = Path("/proc/self/smaps"), Path("/proc/self/status")  # proc(5)
MAPPING = re.compile(r"([0-9a-f]+)-([0-9a-f]+) (\S{4}) \S+ \S+ ([0-9]+)")
PRIVATE = re.compile(r"Anonymous: +([0-9]+) kB")
RESIDENT = re.compile(r"VmRSS:\s+([0-9]+) kB")


def return_freed_memory() -> None:
    """Have long allocations mapped by themselves, so that freeing one gives it back to the system.

    glibc raises its threshold to the size of the longest one that was freed, and takes later ones from the
    heap. Guards against a heap that keeps the room of bodies long gone, in holes between small objects,
    beyond what is counted. What the heap has free now is given back as well. Other C libraries are left as
    they are.
    """
    with suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, MAPPED_FROM)
        library.malloc_trim(0)


def release_file_pages() -> None:
    """Give back the unchanged pages of programs and libraries; the system reads them again when needed.

    Most of them were needed to start only, and count as resident memory. Mappings that may be written to, or
    have pages of their own (relocations), are left alone. Elsewhere than on Linux nothing is done.
    """
    try:
        madvise = ctypes.CDLL(None).madvise
        lines = MAPS.read_text().splitlines()
    except (OSError, AttributeError):
        return
    madvise.argtypes = [ctypes.c_void_p, ctypes.c_size_t, ctypes.c_int]
    mapping = None
    for line in lines:
        if found := MAPPING.match(line):
            mapping = found
        elif mapping and (private := PRIVATE.match(line)):
            start, end = int(mapping[1], 16), int(mapping[2], 16)
            if mapping[4] != "0" and "w" not in mapping[3] and private[1] == "0":
                madvise(start, end - start, MADV_DONTNEED)


def resident_bytes(otherwise: int) -> int:
    """Bytes of the process that are in memory now; ``otherwise`` where the system does not tell."""
    with suppress(OSError):
        if found := RESIDENT.search(STATUS.read_text()):
            return int(found[1]) * 1024
    return otherwise
