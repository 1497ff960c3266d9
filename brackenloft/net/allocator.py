"""What the C library's allocator does with freed memory, for a process with a limit on it."""

from __future__ import annotations

import ctypes

M_MMAP_THRESHOLD = -3  # of mallopt(3), glibc
MAPPED_FROM = 128 * 1024  # bytes of an allocation that is mapped by itself: glibc's own figure at the start


def return_freed_memory() -> None:
    """Have long allocations mapped by themselves, so that freeing one gives it back to the system.

    glibc raises its threshold to the size of the longest one that was freed, and takes later ones from the
    heap. Guards against a heap that keeps the room of bodies long gone, in holes between small objects,
    beyond what is counted. Other C libraries are left as they are.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(M_MMAP_THRESHOLD, MAPPED_FROM)
