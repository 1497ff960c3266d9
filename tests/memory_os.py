"""Stands in for ``os``: a disk in memory that fails at any call, and forgets what was not flushed."""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass, field


class PowerLoss(BaseException):
    """The process ends at this call; nothing after it happens."""


@dataclass
class File:
    content: bytes = b""
    flushed: bytes = b""


@dataclass
class Directory:
    entries: dict[str, File] = field(default_factory=dict)
    flushed: dict[str, File] = field(default_factory=dict)


@dataclass
class Descriptor:
    target: File | Directory
    position: int = 0


class MemoryOs:
    """The calls of ``files.FileOperations``.

    ``fail_at``: the number of the call that fails, reading and listing not counted; ``power_loss``: whether
    it is the last one. A write that fails has written a part.
    """

    def __init__(self) -> None:
        self.directories: dict[str, Directory] = {"/": Directory()}
        self.descriptors: dict[int, Descriptor] = {}
        self.calls = 0
        self.fail_at = -1
        self.power_loss = False

    def _step(self) -> None:
        self.calls += 1
        if self.calls == self.fail_at:
            if self.power_loss:
                raise PowerLoss
            raise OSError(errno.ENOSPC, "no space left")

    def _place(self, path: str) -> tuple[Directory, str]:
        parent, _, name = path.rpartition("/")
        directory = self.directories.get(parent or "/")
        if directory is None:
            raise FileNotFoundError(path)
        return directory, name

    def open(self, path: str, flags: int, mode: int = 0o777, /) -> int:
        self._step()
        target: File | Directory
        if flags & os.O_DIRECTORY:
            target = self.directories[path]
        else:
            directory, name = self._place(path)
            if flags & os.O_CREAT:
                if name not in directory.entries:
                    directory.entries[name] = File()
                directory.entries[name].content = b""
            if name not in directory.entries:
                raise FileNotFoundError(path)
            target = directory.entries[name]
        number = max(self.descriptors, default=2) + 1
        self.descriptors[number] = Descriptor(target)
        return number

    def read(self, descriptor: int, length: int, /) -> bytes:
        opened = self.descriptors[descriptor]
        assert isinstance(opened.target, File)
        part = opened.target.content[opened.position : opened.position + length]
        opened.position += len(part)
        return part

    def write(self, descriptor: int, data: memoryview, /) -> int:
        target = self.descriptors[descriptor].target
        assert isinstance(target, File)
        half = bytes(data[: max(1, len(data) // 2)])
        target.content += half
        self._step()
        return len(half)

    def fsync(self, descriptor: int, /) -> None:
        self._step()
        target = self.descriptors[descriptor].target
        if isinstance(target, File):
            target.flushed = target.content
        else:
            target.flushed = dict(target.entries)

    def close(self, descriptor: int, /) -> None:
        del self.descriptors[descriptor]
        self._step()

    def replace(self, source: str, target: str, /) -> None:
        self._step()
        (old, old_name), (new, new_name) = self._place(source), self._place(target)
        if old_name not in old.entries:
            raise FileNotFoundError(source)
        new.entries[new_name] = old.entries.pop(old_name)

    def unlink(self, path: str, /) -> None:
        self._step()
        directory, name = self._place(path)
        if name not in directory.entries:
            raise FileNotFoundError(path)
        del directory.entries[name]

    def listdir(self, path: str, /) -> list[str]:
        return list(self.directories[path].entries)

    def mkdir(self, path: str, mode: int = 0o777, /) -> None:
        self._step()
        self._place(path)
        if path in self.directories:
            raise FileExistsError(path)
        self.directories[path] = Directory()

    def after_power_loss(self, chance: random.Random) -> MemoryOs:
        """What is found after it.

        Of each entry that was not flushed the old state or the new one by chance, of each content that was
        not flushed any beginning. Directories themselves stay.
        """
        found = MemoryOs()
        for path, directory in self.directories.items():
            entries = dict(directory.flushed)
            for name in sorted(directory.entries.keys() | directory.flushed.keys()):
                if directory.entries.get(name) is not directory.flushed.get(name) and chance.random() < 0.5:
                    entries.pop(name, None)
                    if name in directory.entries:
                        entries[name] = directory.entries[name]
            kept = {name: _after_power_loss(file, chance) for name, file in entries.items()}
            found.directories[path] = Directory(kept, dict(kept))
        return found


def _after_power_loss(file: File, chance: random.Random) -> File:
    if file.content == file.flushed:
        return file
    content = chance.choice([file.flushed, file.content[: chance.randrange(len(file.content) + 1)]])
    return File(content, content)
