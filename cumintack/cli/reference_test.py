"""The reference page and the metric table match the code."""

import pathlib
import re

from cumintack.cli.reference import create_reference
from cumintack.daemon.metric_definitions import METRIC_DEFINITIONS

ROOT = pathlib.Path(__file__).parents[2]
EVENT_NAME = re.compile(r"(?:RecordEvent|count)\(\s*'([a-z]+\.[a-z_-]+)'")


def test_page_is_current() -> None:
    """The committed page equals the generated one."""
    page = (ROOT / 'docs' / 'REFERENCE.md').read_text(encoding='utf-8')
    assert page == create_reference()


def test_every_event_is_in_the_table() -> None:
    """Each event recorded in the code is listed in the metric table."""
    known = {metric.name for metric in METRIC_DEFINITIONS}
    named = set()
    for path in (ROOT / 'cumintack').rglob('*.py'):
        if not path.name.endswith('_test.py'):
            named.update(EVENT_NAME.findall(path.read_text(encoding='utf-8')))
    assert named
    assert named <= known


def test_settings_have_meanings() -> None:
    """Every setting in the page has a meaning."""
    page = create_reference().partition('## Keys')[0]
    assert not re.findall(r'^\| `\w+` \| \S+ \|  \|$', page, re.MULTILINE)
