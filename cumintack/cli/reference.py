"""The reference page, made from the code so that it can't fall behind."""

import inspect
import re

import msgspec

from cumintack.daemon.metric_definitions import METRIC_NAMES
from cumintack.daemon.settings import (
    AdminSettings,
    ControlSettings,
    EntrySettings,
    GuardSettings,
    LogSettings,
    PeerSettings,
    Settings,
    StatsdSettings,
    TokenSettings,
    WorkflowEntrySettings,
    WorkflowGuardSettings,
)
from cumintack.state.configuration import KEY_RULES

SECTIONS = (
    ('top level', Settings),
    ('control_replicas[], entries[]', PeerSettings),
    ('control', ControlSettings),
    ('entry', EntrySettings),
    ('guard', GuardSettings),
    ('workflow_entry', WorkflowEntrySettings),
    ('workflow_guard', WorkflowGuardSettings),
    ('admin', AdminSettings),
    ('admin.tokens[]', TokenSettings),
    ('statsd', StatsdSettings),
    ('log', LogSettings),
)
INTRODUCTION = """# Reference

Made by `cumintack reference`; a test holds this page against the code.
"""


def create_reference() -> str:
    """Create the page.

    Returns:
        Markdown with settings, configuration keys and metrics.
    """
    parts = [INTRODUCTION, '## Settings of a process\n']
    for name, section in SECTIONS:
        parts.append(f'### {name}\n')
        parts.append(_render_section(section))
    parts.append('## Keys of the configuration\n')
    parts.append(_render_keys())
    parts.append('## Metrics\n')
    parts.append(_render_metrics())
    return '\n'.join(parts)


def _parse_attribute_docs(section: type[msgspec.Struct]) -> dict[str, str]:
    text = inspect.getdoc(section) or ''
    found = re.findall(
        r'^    (\w+): (.*?)(?=^    \w+: |\Z)',
        text,
        re.MULTILINE | re.DOTALL,
    )
    return {name: ' '.join(meaning.split()) for name, meaning in found}


def _render_section(section: type[msgspec.Struct]) -> str:
    meanings = _parse_attribute_docs(section)
    lines = ['| key | default | meaning |', '|---|---|---|']
    for field in msgspec.structs.fields(section):
        default = 'required' if field.required else _render_default(field)
        meaning = meanings.get(field.name, '')
        lines.append(f'| `{field.name}` | {default} | {meaning} |')
    return '\n'.join([*lines, ''])


def _render_default(field: msgspec.structs.FieldInfo) -> str:
    default = field.default
    if isinstance(default, (int, float, str, bool)):
        return f'`{default}`' if default != '' else 'empty'
    return 'none'


def _render_keys() -> str:
    lines = ['| key | allowed | default | meaning |', '|---|---|---|---|']
    for rule in KEY_RULES:
        key = re.sub(r'\[a-z0-9\]\S*?\{0,62\}', 'NAME', rule.pattern)
        key = key.replace('\\', '').replace('|', ' or ')
        allowed = f'{rule.lowest:g} to {rule.highest:g}'
        if str in rule.kinds:
            allowed = 'text, number or truth value'
        lines.append(
            f'| `{key}` | {allowed} | `{rule.default}` | {rule.meaning} |',
        )
    return '\n'.join([*lines, ''])


def _render_metrics() -> str:
    lines = ['| name | kind | unit | meaning |', '|---|---|---|---|']
    lines.extend(
        f'| `{metric.name}` | {metric.kind} | {metric.unit} | '
        f'{metric.meaning} |'
        for metric in METRIC_NAMES
    )
    return '\n'.join([*lines, ''])
