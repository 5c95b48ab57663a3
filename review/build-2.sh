#!/bin/sh
# After the build of the deploy file: installs the libraries that an operator file needs, at the versions pinned in
# constraints.txt, and compiles the stand-ins of the cases 6 to 10.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m pip -q install -c constraints.txt -e '.[operator]'
.venv/bin/python -m compileall -q review
