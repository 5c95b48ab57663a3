"""Structured log lines on standard error: for people or as JSON, one object a line."""

from __future__ import annotations

import logging
import sys
from collections.abc import Mapping
from typing import TextIO

import structlog

from lotusstream.log import Writer

LONGEST_VALUE = 4000  # characters: a traceback is kept, a flood in one field is not


def _shortened(
    _logger: object, _method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    for name, value in event.items():
        if isinstance(value, str) and len(value) > LONGEST_VALUE:
            event[name] = value[:LONGEST_VALUE] + "..."
    return event


def structured(form: str, threshold: str, gateway: str, stream: TextIO | None = None) -> Writer:
    """`form`: console or json. `threshold`: the least severity that is written."""
    target = stream or sys.stderr
    renderer: structlog.typing.Processor
    if form == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=target.isatty())
    logger = structlog.wrap_logger(
        structlog.PrintLogger(target),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _shortened,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[threshold.upper()]
        ),
        context_class=dict,
        gateway=gateway,
    )

    def write(severity: str, kind: str, text: str, fields: Mapping[str, object]) -> None:
        getattr(logger, severity)(kind, text=text, **fields)

    return write
