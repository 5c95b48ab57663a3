"""One real gateway: `python -m lotusstream serve`."""

import sys

from lotusstream.cli import main

sys.exit(main())
