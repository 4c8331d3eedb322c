"""The demonstration passes all of its checks."""

import pathlib

from cumintack.demo.__main__ import Demo, run_checks


def test_main_job(tmp_path: pathlib.Path) -> None:
    """Quote checks are answered and every task completes exactly once."""
    demo = Demo(tmp_path)
    checks = run_checks(demo)
    assert demo.stop()
    assert [check for check in checks if not check.is_passed] == []
