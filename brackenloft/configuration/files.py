"""Files that are replaced atomically and never believed when damaged.

A file is written under a temporary name, flushed to the disk, renamed, and its directory flushed. Whoever
reads the name afterwards finds the old content or the new one, also after a loss of power between any two
steps. The content is a message of ``codec``, whose digest covers every byte.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Any, Protocol

from brackenloft.configuration import codec
from brackenloft.configuration.codec import CodecError

LONGEST_FILE_BYTES = 64 * 1024 * 1024  # of a file's content when it is decompressed
FILE_COMPRESSION_LEVEL = 1
TEMPORARY = ".tmp"  # suffix of a file that was not finished
DAMAGED = ".damaged"  # suffix of a file that was set aside
FILE_MODE = 0o640
DIRECTORY_MODE = 0o750
READ_BYTES = 1024 * 1024


class DamagedFile(ValueError):  # noqa: N818
    """A file's content is not what was written, or not what its name says."""


class FileOperations(Protocol):
    """What is needed of the module ``os``; tests give one that fails."""

    def open(self, path: str, flags: int, mode: int = ..., /) -> int: ...
    def read(self, descriptor: int, length: int, /) -> bytes: ...
    def write(self, descriptor: int, data: memoryview, /) -> int: ...
    def fsync(self, descriptor: int, /) -> None: ...
    def close(self, descriptor: int, /) -> None: ...
    def replace(self, source: str, target: str, /) -> None: ...
    def unlink(self, path: str, /) -> None: ...
    def listdir(self, path: str, /) -> list[str]: ...
    def mkdir(self, path: str, mode: int = ..., /) -> None: ...


SYSTEM: FileOperations = os


class Folder:
    """A directory of such files. All methods raise OSError where the disk does not do its part."""

    def __init__(self, path: Path, system: FileOperations = SYSTEM) -> None:
        self.path = path
        self._system = system

    def create(self) -> None:
        """Make the directory, if it is not there."""
        with contextlib.suppress(FileExistsError):
            self._system.mkdir(str(self.path), DIRECTORY_MODE)
            Folder(self.path.parent, self._system).flush()

    def names(self) -> list[str]:
        """The names of all finished files that were not set aside, sorted."""
        return [name for name in self.all_names() if not name.endswith(DAMAGED)]

    def all_names(self) -> list[str]:
        """The names of all finished files, sorted; those that were set aside end with ``DAMAGED``."""
        return sorted(name for name in self._system.listdir(str(self.path)) if not name.endswith(TEMPORARY))

    def write(self, name: str, message: object) -> None:
        """Replace a file; it is on the disk when this returns. After OSError it is the old or the new one."""
        temporary = name + TEMPORARY
        try:
            self._write_file(temporary, codec.encode(message, FILE_COMPRESSION_LEVEL))
            self._system.replace(self._at(temporary), self._at(name))
        except OSError:
            with contextlib.suppress(OSError):
                self._system.unlink(self._at(temporary))
            raise
        self.flush()

    def read(self, name: str, kind: Any) -> Any:
        """A file's message of a type. DamagedFile for whatever else it holds."""
        data = self._read_file(name)
        try:
            return codec.decode(data, kind, LONGEST_FILE_BYTES)
        except CodecError as error:
            raise DamagedFile(str(error)) from error

    def set_aside(self, name: str) -> None:
        """Keep a damaged file for people to look at; it is not read again."""
        self._system.replace(self._at(name), self._at(name + DAMAGED))

    def remove(self, name: str) -> None:
        """Delete a file; nothing to do if it is not there."""
        with contextlib.suppress(FileNotFoundError):
            self._system.unlink(self._at(name))

    def remove_unfinished(self) -> None:
        """Delete what writers that ended halfway left behind."""
        for name in self._system.listdir(str(self.path)):
            if name.endswith(TEMPORARY):
                self.remove(name)

    def flush(self) -> None:
        """Have the directory's entries on the disk."""
        descriptor = self._system.open(str(self.path), os.O_RDONLY | os.O_DIRECTORY)
        try:
            self._system.fsync(descriptor)
        finally:
            self._system.close(descriptor)

    def _at(self, name: str) -> str:
        return str(self.path / name)

    def _write_file(self, name: str, data: bytes) -> None:
        descriptor = self._system.open(self._at(name), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[self._system.write(descriptor, rest) :]
            self._system.fsync(descriptor)
        finally:
            self._system.close(descriptor)

    def _read_file(self, name: str) -> bytes:
        descriptor = self._system.open(self._at(name), os.O_RDONLY)
        most_bytes = codec.most_encoded_bytes(LONGEST_FILE_BYTES)
        parts, size = [], 0
        try:
            while part := self._system.read(descriptor, READ_BYTES):
                parts.append(part)
                size += len(part)
                if size > most_bytes:
                    raise DamagedFile(f"longer than {most_bytes} bytes")
        finally:
            self._system.close(descriptor)
        return b"".join(parts)
