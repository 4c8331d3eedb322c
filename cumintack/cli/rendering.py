"""Renders query results and timelines; fetching them is separate."""

import csv
import datetime
import html
import io

import msgspec

from cumintack.coordination.querying import QueryResult
from cumintack.coordination.timeline import Timeline
from cumintack.state.events import Event

LANE_WIDTH = 190
LANE_LEFT = 130
ROW_HEIGHT = 18
HEADER_HEIGHT = 40
MAX_LABEL = 40
FONT = 'font-family="monospace" font-size="11"'


def render_rows(rows: QueryResult, style: str) -> str:
    """Render a query result.

    Args:
        rows: The query result.
        style: Output format: ``table``, ``json`` or ``csv``.

    Returns:
        Text without a trailing newline.
    """
    match style:
        case 'json':
            records = [
                dict(zip(rows.columns, row, strict=True)) for row in rows.rows
            ]
            return msgspec.json.encode(records).decode()
        case 'csv':
            return _render_csv(rows)
    return _render_table(rows)


def _render_csv(rows: QueryResult) -> str:
    out = io.StringIO()
    writer = csv.writer(out, lineterminator='\n')
    writer.writerow(rows.columns)
    writer.writerows(rows.rows)
    return out.getvalue().rstrip('\n')


def _render_table(rows: QueryResult) -> str:
    cells = [list(rows.columns)]
    cells.extend([_render_cell(cell) for cell in row] for row in rows.rows)
    widths = [max(len(cell) for cell in column) for column in zip(*cells)]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths)]
        lines.append('  '.join(padded).rstrip())
    lines.insert(1, '  '.join('-' * width for width in widths))
    lines.append(f'({len(rows.rows)} rows)')
    return '\n'.join(lines)


def _render_cell(cell: object) -> str:
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    return '' if cell is None else str(cell)


def render_timeline(timeline: Timeline, style: str) -> str:
    """Render a timeline.

    Args:
        timeline: The timeline.
        style: Output format: ``table``, ``json``, ``csv`` or ``svg``.

    Returns:
        Text that, in every format, names the processes that did not answer.
    """
    match style:
        case 'json':
            return msgspec.json.encode(timeline).decode()
        case 'svg':
            return _render_svg(timeline)
    columns = ('time', 'process', 'event', 'subject', 'detail')
    rows = [_create_event_row(event) for event in timeline.events]
    rows.extend(
        ('', name, 'missing', '', 'this process did not answer')
        for name in timeline.missing
    )
    return render_rows(QueryResult(columns, tuple(rows)), style)


def _create_event_row(event: Event) -> tuple[str, ...]:
    return (
        _render_time(event),
        event.process,
        event.name,
        event.subject,
        event.detail,
    )


def _render_time(event: Event) -> str:
    wall = datetime.datetime.fromtimestamp(
        event.stamp.wall_ms / 1000,
        datetime.UTC,
    )
    shown = wall.time().isoformat(timespec='milliseconds')
    return f'{shown}+{event.stamp.counter}'


def _render_svg(timeline: Timeline) -> str:
    names = sorted({event.process for event in timeline.events})
    names.extend(timeline.missing)
    lanes = {
        name: LANE_LEFT + LANE_WIDTH * index for index, name in enumerate(names)
    }
    height = HEADER_HEIGHT + ROW_HEIGHT * (len(timeline.events) + 1)
    width = LANE_LEFT + LANE_WIDTH * len(names)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{height}" {FONT}>',
    ]
    for name in names:
        note = ' (missing)' if name in timeline.missing else ''
        parts.extend(_draw_lane(name + note, lanes[name], height))
    for index, event in enumerate(timeline.events):
        top = HEADER_HEIGHT + ROW_HEIGHT * (index + 1)
        parts.extend(_draw_event(event, lanes[event.process], top))
    parts.append('</svg>')
    return '\n'.join(parts)


def _draw_lane(label: str, left: int, height: int) -> list[str]:
    return [
        f'<text x="{left}" y="20">{html.escape(label)}</text>',
        f'<line x1="{left}" y1="{HEADER_HEIGHT - 10}" x2="{left}" '
        f'y2="{height}" stroke="#bbb"/>',
    ]


def _draw_event(event: Event, left: int, top: int) -> list[str]:
    label = html.escape(f'{event.name} {event.detail}'.strip()[:MAX_LABEL])
    return [
        f'<text x="4" y="{top}">{_render_time(event)}</text>',
        f'<circle cx="{left}" cy="{top - 4}" r="4"/>',
        f'<text x="{left + 8}" y="{top}">{label}</text>',
    ]
