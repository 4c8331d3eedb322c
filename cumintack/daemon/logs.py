"""Structured logs: one JSON object per line on standard output.

Logging never blocks the process, even if the reader of the pipe is slow or
has exited: a line that can't be written at once, or that exceeds the rate
limit, is dropped and counted, and the next written line is preceded by the
count.
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
# Sustained rate limit in lines per second; the busiest day of use needs a
# fifth of it.
LINES_PER_S = 200.0
# Burst limit in lines, for example after a change of leader.
BURST_LINES = 2000.0
# Longest line in bytes. A pipe that select reports as writable accepts at
# least this much (PIPE_BUF is 4096 on Linux) without blocking.
MAX_LINE_BYTES = 4000
_ENCODE_ERRORS = (TypeError, ValueError, RecursionError, OverflowError)


class NonBlockingWriter:
    """Writes lines to a file descriptor without blocking, at a limited rate."""

    __slots__ = (
        '_clock',
        '_descriptor',
        '_dropped',
        '_refilled_at_s',
        '_lock',
        '_tokens',
    )

    def __init__(self, descriptor: int, clock: Clock) -> None:
        """Write to an open file descriptor."""
        self._clock = clock
        self._descriptor = descriptor
        self._dropped = 0
        self._refilled_at_s = self._clock.now_s()
        self._lock = threading.Lock()
        self._tokens = BURST_LINES

    def write(self, line: str) -> None:
        """Write a line; drop and count it if that would block."""
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
    """Replace a line that is too long by a shorter JSON object."""
    start = encoded[: MAX_LINE_BYTES // 4].decode('utf-8', 'replace')
    truncated = {
        'event': 'logs: line cut',
        'start': start,
        'size': len(encoded),
    }
    return msgspec.json.encode(truncated)


class _LineLogger:
    """Logger for structlog that writes rendered lines of every level."""

    __slots__ = ('_writer',)

    def __init__(self, writer: NonBlockingWriter) -> None:
        """Write lines through a writer."""
        self._writer = writer

    def __getattr__(self, _level: str) -> Callable[[str], None]:
        return self._writer.write


def _render(
    _logger: object,
    _method: str,
    event: structlog.typing.EventDict,
) -> str:
    try:
        return msgspec.json.encode(event, enc_hook=str).decode()
    except _ENCODE_ERRORS as error:
        # A line that can't be written must not end the process.
        failure = {
            'event': 'logs: line not encodable',
            'line': str(event.get('event')),
            'error': str(error),
        }
        return msgspec.json.encode(failure).decode()


def configure_logging(level: str) -> None:
    """Configure logging of this process.

    Args:
        level: The lowest level to write.
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
