"""Structured log lines on standard error, as text for the console or as JSON, one object a line."""

from __future__ import annotations

import logging
import sys
from collections.abc import Mapping
from typing import TextIO

import structlog

from lotusstream.log import LogWriter

# Greatest length of a field's value; longer values are cut. A traceback fits.
MAX_VALUE_CHARS = 4000


def _truncate_values(
    _logger: object, _method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    for name, value in event.items():
        if isinstance(value, str) and len(value) > MAX_VALUE_CHARS:
            event[name] = value[:MAX_VALUE_CHARS] + "..."
    return event


def _add_severity(
    _logger: object, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Adds the key `severity`. structlog's usual key, `level`, stands for a degradation level here."""
    event["severity"] = method
    return event


def _console_renderer(colors: bool) -> structlog.dev.ConsoleRenderer:
    def column(key: str, width: int = 0, key_style: str | None = None) -> structlog.dev.Column:
        styles = structlog.dev.ConsoleRenderer.get_default_column_styles(colors)
        style = {"timestamp": styles.timestamp, "event": styles.bright}.get(key, styles.kv_value)
        form = structlog.dev.KeyValueColumnFormatter(
            key_style=key_style, value_style=style, reset_style=styles.reset, value_repr=str, width=width
        )
        return structlog.dev.Column(key, form)

    columns = [column("timestamp"), column("severity", 8), column("event", 12), column("", 0, "")]
    return structlog.dev.ConsoleRenderer(columns=columns)


def structured_log_writer(form: str, threshold: str, gateway: str, stream: TextIO | None = None) -> LogWriter:
    """Returns a writer of structured log lines.

    :param form: console or json
    :param threshold: lowest severity that is written: debug, info, warning or error
    :param gateway: name of the gateway, which each line contains
    :param stream: where lines are written; None: standard error
    """
    target = stream or sys.stderr
    renderer: structlog.typing.Processor
    renderer = structlog.processors.JSONRenderer() if form == "json" else _console_renderer(target.isatty())
    logger = structlog.wrap_logger(
        structlog.PrintLogger(target),
        processors=[
            _add_severity,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _truncate_values,
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
