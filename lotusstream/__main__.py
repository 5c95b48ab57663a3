"""Runs the command line interface: `python -m lotusstream serve` starts a gateway."""

import sys

from lotusstream.cli import main

sys.exit(main())
