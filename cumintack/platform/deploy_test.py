"""Tests that the deployment files for the platform match the program."""

import pathlib
import re
import tomllib

import pytest
import yaml
from result import Ok

from cumintack.daemon.settings import parse_settings

ROOT = pathlib.Path(__file__).parents[2]
ROLES = ('entry', 'guard', 'control')
PLACEHOLDER_VALUES = {
    'ip': '10.1.0.13',
    'node_name': 'edge-north-yard-1',
    'zones|json': '{"north-yard": "perth-metro"}',
    'zone': 'north-yard',
    'internal_ports.0': '7720',
    'seed_addrs|json': '["10.1.0.17:8166", "10.2.0.34:8166"]',
    'bind_addrs.front': '10.1.0.13:8161',
    'bind_addrs.ready': '10.1.0.13:8167',
    'bind_addrs.control': '10.1.0.13:8166',
    'app': '10.1.0.13:8165',
    'data_dir': '/data/control',
    'advice': '10.200.1.9:8169',
    'initial_start|json': 'true',
    'bounds.grace_s': '6',
    'bounds.max_hold_ms': '10000',
    'fault_tolerance.machines': '0',
}
PLACEHOLDER = re.compile('{{([^}]+)}}')


def test_requirements_match_pyproject() -> None:
    """The platform installs the dependencies that the project declares."""
    text = (ROOT / 'pyproject.toml').read_text(encoding='utf-8')
    declared = tomllib.loads(text)['project']['dependencies']
    listed = (ROOT / 'requirements.txt').read_text(encoding='utf-8')
    assert listed.split() == declared


@pytest.mark.parametrize('role', ROLES)
def test_template_gives_valid_settings(role: str) -> None:
    """A filled-in template is a valid settings file."""
    text = (ROOT / 'deploy' / f'{role}.yaml').read_text(encoding='utf-8')
    filled = PLACEHOLDER.sub(lambda match: PLACEHOLDER_VALUES[match[1]], text)
    parsed = parse_settings(filled, role)
    assert isinstance(parsed, Ok), parsed
    settings = parsed.ok_value
    assert settings.name == '10.1.0.13'
    assert settings.control_replicas[0].address == '10.1.0.17:7720'


# Guards against a control group that does not start where the platform names
# no data centres.
@pytest.mark.parametrize('rendered', ['null', '""', '{}'])
def test_platform_without_data_centres_gives_valid_settings(
    rendered: str,
) -> None:
    """Any data centre may be evacuated then."""
    text = (ROOT / 'deploy' / 'control.yaml').read_text(encoding='utf-8')
    known = {**PLACEHOLDER_VALUES, 'zones|json': rendered}
    filled = PLACEHOLDER.sub(lambda match: known[match[1]], text)
    parsed = parse_settings(filled, 'control')
    assert isinstance(parsed, Ok), parsed
    assert parsed.ok_value.control is not None
    assert not parsed.ok_value.control.data_centres


def test_every_role_has_a_template() -> None:
    """The template of each role in the deployment file exists."""
    text = (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
    roles = tomllib.loads(text)['roles']
    assert set(roles) == set(ROLES)
    for role in roles.values():
        template = ROOT / role['template']
        assert yaml.safe_load(PLACEHOLDER.sub('x', template.read_text()))
