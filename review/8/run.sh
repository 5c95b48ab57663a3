#!/bin/sh
cd "$(dirname "$0")/../.." && exec .venv/bin/python review/8/case.py
