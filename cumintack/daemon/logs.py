"""Structured logs: one JSON object a line, to standard error."""

import logging
import sys

import structlog

LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


def configure_logs(level: str) -> None:
    """Configure the logs of this process.

    Args:
        level: The least level to write.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            LEVELS.get(level, logging.INFO),
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
