"""Logging never blocks the process and keeps its rate limit."""

import json
import os

import pytest
import structlog

from cumintack.daemon.logs import (
    BURST_LINES,
    LINES_PER_S,
    MAX_LINE_BYTES,
    NonBlockingWriter,
    configure_logging,
)
from cumintack.transport.fake_clock_test import SteppedClock

LINE_COUNT = 1500


def _read_lines(reader: int) -> list[dict[str, object]]:
    os.set_blocking(reader, False)
    chunks = []
    while True:
        try:
            chunks.append(os.read(reader, 65536))
        except BlockingIOError:
            return [json.loads(line) for line in b''.join(chunks).splitlines()]


def test_full_pipe_drops_lines_without_blocking() -> None:
    """Lines that a full pipe can't take are dropped, and counted later."""
    reader, descriptor = os.pipe()
    writer = NonBlockingWriter(descriptor, SteppedClock())
    line = json.dumps({'event': 'x', 'text': 'y' * 1000})
    for _ in range(LINE_COUNT):
        writer.write(line)
    kept = len(_read_lines(reader))
    assert 0 < kept < LINE_COUNT
    writer.write(json.dumps({'event': 'last'}))
    after = _read_lines(reader)
    assert after[0] == {
        'event': 'logs: lines dropped',
        'count': LINE_COUNT - kept,
    }
    os.close(reader)
    writer.write(line)
    os.close(descriptor)
    writer.write(line)


def test_configured_logs_go_to_standard_output(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """A line is one JSON object with its level; debug lines are filtered."""
    before = structlog.get_config()
    configure_logging('info')
    structlog.get_logger().warning('part: event', count=1)
    structlog.get_logger().debug('part: hidden')
    structlog.configure(**before)
    line = json.loads(capfd.readouterr().out)
    assert line['event'] == 'part: event'
    assert line['level'] == 'warning'


def test_rate_is_bounded() -> None:
    """Lines over the rate limit are dropped until tokens are refilled."""
    reader, descriptor = os.pipe()
    clock = SteppedClock()
    writer = NonBlockingWriter(descriptor, clock)
    for _ in range(int(BURST_LINES) + 5):
        writer.write('{}')
        _read_lines(reader)
    writer.write('{}')
    assert not _read_lines(reader)
    clock.at_s += 1
    for _ in range(int(LINES_PER_S) * 2):
        writer.write('{}')
    lines = _read_lines(reader)
    assert lines[0]['count'] == 6
    assert len(lines) == int(LINES_PER_S) + 1
    os.close(reader)
    os.close(descriptor)


def test_long_line_is_truncated_to_valid_json() -> None:
    """A line over the size limit is replaced by a shorter JSON object."""
    reader, descriptor = os.pipe()
    NonBlockingWriter(descriptor, SteppedClock()).write(
        json.dumps({'event': 'x', 'text': 'y' * MAX_LINE_BYTES}),
    )
    assert _read_lines(reader)[0]['event'] == 'logs: line cut'
    os.close(reader)
    os.close(descriptor)


# Guards against a value that can't be written and ends the process.
def test_line_that_can_not_be_encoded(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """The line is replaced by one that names its event."""
    before = structlog.get_config()
    configure_logging('info')
    endless: list[object] = []
    endless.append(endless)
    structlog.get_logger().info('odd', value=endless)
    structlog.configure(**before)
    line = json.loads(capfd.readouterr().out)
    assert line['event'] == 'logs: line not encodable'
    assert line['line'] == 'odd'
