"""Validation of settings: one line for each problem, with the key's path."""

import pathlib

import pytest
from result import Err, Ok
from syrupy.assertion import SnapshotAssertion

from cumintack.daemon.settings import (
    get_roles,
    load_settings,
    parse_settings,
)

BASE = """
name: entry-1
data_centre: north-yard
link_address: 127.0.0.1:7100
"""
REPLICAS = """
control_replicas:
  - {name: control-1, address: "127.0.0.1:7000"}
"""
ENTRY = 'entry: {http_address: "127.0.0.1:8080"}'
VALID = f'{BASE}{REPLICAS}{ENTRY}\n'

INVALID = (
    f'{BASE}{REPLICAS}entry: {{http_address: 8080}}',
    f'{BASE}{REPLICAS}entry: {{http_address: "nowhere"}}',
    f'{BASE}{REPLICAS}entry: {{http_address: "127.0.0.1:1", threads: -4}}',
    f'{BASE}{REPLICAS}entry: {{http_address: "127.0.0.1:1", threads: many}}',
    f'{BASE}{REPLICAS}',
    f'{BASE}{ENTRY}\ncontrol_replicas: []',
    f'{VALID}colour: red',
    f'{VALID}control: {{data_folder: data}}',
    f'{VALID}guard: {{worker: other, http_address: "127.0.0.1:1"}}',
    f'{VALID}admin: {{tokens: [{{token: short, name: a, role: king}}]}}',
    f'{REPLICAS}{ENTRY}',
    f'{VALID}name: [',
    f'{BASE}{REPLICAS}entry: {{http_address: "127.0.0.1:65536"}}',
    f'{BASE}{REPLICAS}entry: {{http_address: "127.0.0.1:\xb2"}}',
    f'{VALID}metrics_address: "127.0.0.1:99999"',
    f'{VALID}workflow_guard: {{http_address: "a:0", worker_address: "a:-1"}}',
    f'{BASE}{ENTRY}\nseeds: ["10.0.0.1:1"]\nlink_port: 65536',
    f'{VALID}control: {{data_folder: data, step_order: random}}',
    f'{VALID}control: {{data_folder: data, placement: dense}}',
    f'{VALID}control: {{data_folder: data, data_centres: [north-yard]}}',
    '- a',
)


def test_valid_settings_are_parsed() -> None:
    """Valid settings are parsed, with the configured roles."""
    parsed = parse_settings(VALID, 'good.yaml')
    assert isinstance(parsed, Ok)
    assert get_roles(parsed.ok_value) == ('entry',)


def test_example_settings_are_valid() -> None:
    """The settings files of the examples are valid."""
    folder = pathlib.Path(__file__).parents[2] / 'examples'
    paths = sorted(folder.glob('*/*.yaml'))
    assert paths
    for path in paths:
        assert isinstance(load_settings(path), Ok)


def test_port_of_many_digits_is_rejected() -> None:
    """A port with more digits than Python converts is no exception."""
    address = f'127.0.0.1:{"9" * 5000}'
    text = f'{BASE}{REPLICAS}entry: {{http_address: "{address}"}}'
    assert isinstance(parse_settings(text, 'bad.yaml'), Err)


@pytest.mark.parametrize('text', INVALID)
def test_invalid_settings_are_rejected(
    text: str, snapshot: SnapshotAssertion
) -> None:
    """Invalid settings are rejected with one line for each problem."""
    parsed = parse_settings(text, 'bad.yaml')
    assert isinstance(parsed, Err)
    assert parsed.err_value == snapshot
