"""The preloaded library sees a descriptor that has two owners."""

import os
import subprocess
import sys

import pytest

from brackenloft.lab.soak.preload import Preload, build

TWICE = "import os, socket; sock = socket.socket(); os.close(sock.fileno()); sock = None"
ONCE = "import socket; sock = socket.socket(); sock = None"


@pytest.mark.parametrize(("program", "count"), [(TWICE, 1), (ONCE, 0)])
def test_descriptor_that_is_closed_twice_is_counted(program, count, tmp_path):
    preload = Preload(build(tmp_path), tmp_path / "control", seed=1)
    subprocess.run([sys.executable, "-c", program], env={**os.environ, **preload.environment()}, check=True)
    assert preload.bad_closes() == count
    preload.close()
