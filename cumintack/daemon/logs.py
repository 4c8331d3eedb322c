"""Structured logs: one JSON object a line, to standard output.

A reader that is slow or gone never holds up the process: a line that can't
be written at once, or that is over the rate, is dropped and counted, and the
next line that can be written says how many were.
"""

import logging
import os
import select
import sys
import threading
from collections.abc import Callable

import msgspec
import structlog

from cumintack.transport.clock import Clock, SystemClock

LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}
# Lines a second over a longer time; five times what the heaviest day needs.
LINES_PER_S = 200.0
# Lines that may come at once, such as after a change of leader.
BURST_LINES = 2000.0
# Bytes of a line; a pipe that is writable takes that much without a wait.
MAX_LINE_BYTES = 4000


class NonBlockingWriter:
    """Writes lines to a file descriptor without ever waiting."""

    __slots__ = (
        '_clock',
        '_descriptor',
        '_dropped',
        '_refilled_at_s',
        '_lock',
        '_tokens',
    )

    def __init__(self, descriptor: int, clock: Clock) -> None:
        """Write to an open descriptor."""
        self._clock = clock
        self._descriptor = descriptor
        self._dropped = 0
        self._refilled_at_s = self._clock.now_s()
        self._lock = threading.Lock()
        self._tokens = BURST_LINES

    def write(self, line: str) -> None:
        """Write a line, or drop and count it."""
        encoded = line.rstrip('\n').encode('utf-8', 'replace')
        if len(encoded) > MAX_LINE_BYTES:
            encoded = _truncate(encoded)
        with self._lock:
            if self._take_token() and self._is_writable():
                self._write_with_drop_count(encoded)
            else:
                self._dropped += 1

    def _take_token(self) -> bool:
        now_s = self._clock.now_s()
        refill = (now_s - self._refilled_at_s) * LINES_PER_S
        self._refilled_at_s = now_s
        self._tokens = min(BURST_LINES, self._tokens + refill)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _is_writable(self) -> bool:
        try:
            return bool(select.select((), (self._descriptor,), (), 0)[1])
        except (OSError, ValueError):
            return False

    def _write_with_drop_count(self, encoded: bytes) -> None:
        dropped = self._dropped
        if dropped:
            notice = {'event': 'logs: lines dropped', 'count': dropped}
            encoded = b'%b\n%b' % (msgspec.json.encode(notice), encoded)
        try:
            os.write(self._descriptor, b'%b\n' % encoded)
        except OSError:
            self._dropped += 1
            return
        self._dropped = 0


def _truncate(encoded: bytes) -> bytes:
    """Cut a line that is too long, keeping it a JSON object."""
    start = encoded[: MAX_LINE_BYTES // 4].decode('utf-8', 'replace')
    truncated = {
        'event': 'logs: line cut',
        'start': start,
        'size': len(encoded),
    }
    return msgspec.json.encode(truncated)


class _LineLogger:
    """What structlog calls with each rendered line, whatever its level."""

    __slots__ = ('_writer',)

    def __init__(self, writer: NonBlockingWriter) -> None:
        """Write through a writer."""
        self._writer = writer

    def __getattr__(self, _level: str) -> Callable[[str], None]:
        return self._writer.write


def _render(
    _logger: object,
    _method: str,
    event: structlog.typing.EventDict,
) -> str:
    return msgspec.json.encode(event, enc_hook=str).decode()


def configure_logging(level: str) -> None:
    """Configure the logs of this process.

    Args:
        level: The least level to write.
    """
    writer = NonBlockingWriter(sys.stdout.fileno(), SystemClock())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            LEVELS.get(level, logging.INFO),
        ),
        logger_factory=lambda *_names: _LineLogger(writer),
        cache_logger_on_first_use=True,
    )
