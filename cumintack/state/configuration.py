"""The keyed configuration: typed keys under one revision.

A key must match a known pattern, so that a misspelt key is rejected when it is
set instead of having no effect. The revision is the index of the log entry of
the last change, so that it never decreases.
"""

import functools
import re

import msgspec

from cumintack.state.commands import ConfigurationChange, Setting
from cumintack.state.errors import ErrorCode, StepError

STEP = 'config.set'
MAX_SETTING_LENGTH = 4096
MAX_HISTORY = 2000
MAX_CACHED_KEYS = 8192
MAX_MS = 600000
MAX_COUNT = 1000000
MAX_ABSOLUTE_NUMBER = 1e15
DEFAULT_TIMEOUT_MS = 2000
DEFAULT_SLOW_MS = 1000
_NAME = r'[a-z0-9][a-z0-9_-]{0,62}'


class KeyRule(msgspec.Struct, frozen=True):
    """Validation rule for the keys that match a pattern.

    Attributes:
        pattern: Regular expression that matches the complete key.
        kinds: Allowed types.
        lowest: Smallest allowed number.
        highest: Largest allowed number.
        default: Setting used while the key is not set.
        meaning: Description for the reference page.
    """

    pattern: str
    kinds: tuple[type, ...]
    lowest: float
    highest: float
    default: Setting
    meaning: str


KEY_RULES = (
    KeyRule(
        rf'service\.{_NAME}\.timeout_ms',
        (int,),
        1,
        MAX_MS,
        DEFAULT_TIMEOUT_MS,
        'Timeout of requests that do not specify one.',
    ),
    KeyRule(
        rf'service\.{_NAME}\.max_in_flight',
        (int,),
        1,
        MAX_COUNT,
        MAX_COUNT,
        'Maximum requests of a service in flight through one entry.',
    ),
    KeyRule(
        rf'service\.{_NAME}\.slow_ms',
        (int,),
        1,
        MAX_MS,
        DEFAULT_SLOW_MS,
        'Longest delay after which an unanswered attempt counts as slow.',
    ),
    KeyRule(
        rf'team\.{_NAME}\.rate_per_s',
        (int, float),
        0,
        MAX_COUNT,
        MAX_COUNT,
        'Maximum requests per second that one entry accepts from a team.',
    ),
    KeyRule(
        r'entry\.retry_ratio',
        (int, float),
        0,
        1,
        0.1,
        'Maximum retries as a fraction of requests.',
    ),
    KeyRule(
        r'entry\.hedge_after_ms',
        (int,),
        0,
        MAX_MS,
        0,
        'Fixed hedging delay of idempotent requests; 0 for an adaptive delay.',
    ),
    KeyRule(
        r'scheduler\.weight_(tail_latency|throughput|evictions)',
        (int, float),
        0,
        100,
        1.0,
        'Weight of a measure when latency-critical and batch work compete.',
    ),
    KeyRule(
        rf'note\.{_NAME}',
        (str, int, float, bool),
        -MAX_ABSOLUTE_NUMBER,
        MAX_ABSOLUTE_NUMBER,
        '',
        'Free-form note for operators.',
    ),
)


class ConfigurationItem(msgspec.Struct, frozen=True):
    """A key with the revision and the author of its last change."""

    key: str
    setting: Setting
    version: int
    author: str


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """An accepted change in the history."""

    revision: int
    author: str
    changed_at_ms: int
    changes: tuple[ConfigurationChange, ...]


class Configuration(msgspec.Struct, frozen=True):
    """All keys that were set, with their revision."""

    revision: int = 0
    items: dict[str, ConfigurationItem] = {}


@functools.lru_cache(maxsize=MAX_CACHED_KEYS)
def get_rule(key: str) -> KeyRule | None:
    """Get the rule for a key.

    Args:
        key: The complete key.

    Returns:
        The rule, or None for an unknown key.
    """
    for rule in KEY_RULES:
        if re.fullmatch(rule.pattern, key):
            return rule
    return None


def get_setting(configuration: Configuration, key: str) -> Setting:
    """Get the setting of a key.

    Args:
        configuration: The configuration in force.
        key: A known key.

    Returns:
        The setting, or the default of its rule if the key is not set.
    """
    item = configuration.items.get(key)
    if item is not None:
        return item.setting
    rule = get_rule(key)
    return rule.default if rule else ''


def get_numeric_setting(configuration: Configuration, key: str) -> float:
    """Get the setting of a numeric key.

    Args:
        configuration: The configuration in force.
        key: A known key that allows only numbers.

    Returns:
        The number.
    """
    return float(get_setting(configuration, key))


def _check_key(change: ConfigurationChange) -> str:
    if get_rule(change.key) is None:
        return f'unknown key {change.key!r}'
    return ''


def _check_type(change: ConfigurationChange) -> str:
    rule = get_rule(change.key)
    if rule is None:
        return ''
    setting = change.setting
    if isinstance(setting, bool) and bool not in rule.kinds:
        return f'{change.key}: a truth value is not allowed'
    if not isinstance(setting, rule.kinds):
        type_names = ' or '.join(kind.__name__ for kind in rule.kinds)
        return f'{change.key}: expected {type_names}'
    return ''


def _check_range(change: ConfigurationChange) -> str:
    rule = get_rule(change.key)
    setting = change.setting
    if rule is None or isinstance(setting, bool):
        return ''
    if isinstance(setting, str):
        is_too_long = len(setting) > MAX_SETTING_LENGTH
        return f'{change.key}: text too long' if is_too_long else ''
    if not rule.lowest <= setting <= rule.highest:
        allowed_range = f'{rule.lowest:g}..{rule.highest:g}'
        return f'{change.key}: {setting} is not in {allowed_range}'
    return ''


CHANGE_CHECKS = (_check_key, _check_type, _check_range)


def check_changes(
    configuration: Configuration,
    changes: tuple[ConfigurationChange, ...],
) -> StepError | None:
    """Check changes against the rules and the versions.

    Args:
        configuration: The configuration in force.
        changes: The changes; one error rejects all of them.

    Returns:
        The first error, or None if all are valid.
    """
    for change in changes:
        for check in CHANGE_CHECKS:
            problem = check(change)
            if problem:
                return StepError(ErrorCode.invalid, STEP, '', problem)
        conflict = _check_version(configuration, change)
        if conflict:
            return conflict
    return None


def _check_version(
    configuration: Configuration,
    change: ConfigurationChange,
) -> StepError | None:
    if change.expected_version is None:
        return None
    item = configuration.items.get(change.key)
    version = item.version if item else 0
    if version == change.expected_version:
        return None
    author = item.author if item else 'nobody'
    return StepError(
        ErrorCode.conflict,
        STEP,
        author,
        f'{change.key} is at version {version}, changed by {author}',
        version,
    )


def apply_changes(
    configuration: Configuration,
    changes: tuple[ConfigurationChange, ...],
    revision: int,
    author: str,
) -> Configuration:
    """Compute the configuration after accepted changes.

    Args:
        configuration: The configuration before the changes.
        changes: Changes that passed ``check_changes``.
        revision: Index of the log entry that carries them.
        author: Who requested them.

    Returns:
        The configuration at the new revision.
    """
    items = dict(configuration.items)
    for change in changes:
        items[change.key] = ConfigurationItem(
            change.key,
            change.setting,
            revision,
            author,
        )
    return Configuration(revision, items)


def compute_delta(
    configuration: Configuration,
    revision: int,
) -> Configuration:
    """Compute the delta for a process at an earlier revision.

    Args:
        configuration: The configuration in force.
        revision: The earlier revision.

    Returns:
        The current revision with the items changed since the earlier one.
    """
    items = {
        key: item
        for key, item in configuration.items.items()
        if item.version > revision
    }
    return Configuration(configuration.revision, items)


def merge_delta(
    configuration: Configuration,
    changed: Configuration,
) -> Configuration:
    """Merge a delta received from another process.

    Args:
        configuration: The configuration of this process.
        changed: A delta since that revision or an earlier one.

    Returns:
        The merged configuration, or the given one if the delta is not newer.
    """
    if changed.revision <= configuration.revision:
        return configuration
    return Configuration(
        changed.revision,
        {**configuration.items, **changed.items},
    )
