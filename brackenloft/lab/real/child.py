"""A gateway that does not outlive its experiment: ``python -m brackenloft.lab.real.child serve ...``."""

from __future__ import annotations

import sys

from brackenloft.cli import main
from brackenloft.lab.fleet.control import die_with_parent

if __name__ == "__main__":
    die_with_parent()
    sys.exit(main(sys.argv[1:]))
