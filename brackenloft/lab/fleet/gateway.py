"""A gateway of a trial: ``python -m brackenloft.lab.fleet.gateway [--mutant NAME] serve ...``."""

from __future__ import annotations

import sys

from brackenloft.cli import main
from brackenloft.lab.fleet.control import die_with_parent

if __name__ == "__main__":
    die_with_parent()
    words = sys.argv[1:]
    if words[:1] == ["--mutant"]:
        from brackenloft.lab.fleet.mutants import MUTANTS

        MUTANTS[words[1]]()
        words = words[2:]
    sys.exit(main(words))
