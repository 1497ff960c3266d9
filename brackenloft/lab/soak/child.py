"""A gateway that does not outlive its run: ``python -m brackenloft.lab.soak.child``."""

from __future__ import annotations

import sys

from brackenloft.__main__ import main
from brackenloft.lab.fleet.control import die_with_parent

if __name__ == "__main__":
    die_with_parent()
    sys.exit(main())
