"""What operators' commands load: help is quick, and other commands load nothing of the configuration."""

from __future__ import annotations

import subprocess
import sys


def test_help_loads_neither_http_nor_the_messages():
    script = (
        "import sys; from brackenloft.cli import main; code = main(['config', '--help']);"
        "heavy = {'aiohttp', 'msgspec', 'blake3', 'rich', 'brackenloft.edge', 'uvloop'} & sys.modules.keys();"
        "sys.exit(f'{code} {sorted(heavy)}' if code or heavy else 0)"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    assert "publish" in done.stdout


def test_another_command_loads_nothing_of_the_configuration():
    script = (
        "import sys; from brackenloft.cli import main; main(['check-config', '--config', '/none']);"
        "sys.exit(str(found) if (found := [m for m in sys.modules if 'configuration' in m]) else 0)"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
