"""Logs never hold up the process, whatever becomes of their reader."""

import json
import os

from cumintack.daemon.logs import MAX_LINE_BYTES, BoundedWriter

PIPE_LINES = 2000


def _read_lines(reader: int) -> list[dict[str, object]]:
    os.set_blocking(reader, False)
    parts = []
    while True:
        try:
            parts.append(os.read(reader, 65536))
        except BlockingIOError:
            return [json.loads(line) for line in b''.join(parts).splitlines()]


def test_slow_reader_costs_lines_not_time() -> None:
    """A full pipe drops lines; the next one says how many."""
    reader, descriptor = os.pipe()
    writer = BoundedWriter(descriptor)
    line = json.dumps({'event': 'x', 'text': 'y' * 1000})
    for _ in range(PIPE_LINES):
        writer.write(line)
    kept = len(_read_lines(reader))
    assert 0 < kept < PIPE_LINES
    writer.write(json.dumps({'event': 'last'}))
    after = _read_lines(reader)
    assert after[0] == {
        'event': 'logs: lines dropped',
        'count': PIPE_LINES - kept,
    }
    os.close(reader)
    writer.write(line)
    os.close(descriptor)
    writer.write(line)


def test_long_line_stays_readable() -> None:
    """A line over the limit is cut into a shorter object."""
    reader, descriptor = os.pipe()
    BoundedWriter(descriptor).write(
        json.dumps({'event': 'x', 'text': 'y' * MAX_LINE_BYTES}),
    )
    assert _read_lines(reader)[0]['event'] == 'logs: line cut'
    os.close(reader)
    os.close(descriptor)
