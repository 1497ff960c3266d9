"""What subcommands with a command line of their own share (extras [lab] and [load])."""

from __future__ import annotations

import sys

import typer


def run(app: typer.Typer, name: str, arguments: list[str]) -> int:
    """Run a Typer application under its name; its exit code. A wrong option is one line."""
    try:
        code = app(arguments, standalone_mode=False, prog_name=name)
    except typer.Exit as end:
        return end.exit_code
    except Exception as error:
        if not hasattr(error, "exit_code"):
            raise
        print(f"{name}: {error}", file=sys.stderr)  # click's own words on a wrong option
        return int(error.exit_code)
    return code if isinstance(code, int) else 0
