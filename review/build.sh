#!/bin/sh
# Builds the stand-ins of the cases: compiles them with the interpreter of the deploy file's build. They need the
# standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/stand_ins.py review/[0-9]
