"""Runs a process on a machine of the users.

The platform names the settings file in a variable and does not say which
role a process has but by its settings.
"""

import os
import pathlib
import sys

from cumintack.daemon.main import run
from cumintack.platform.parts import create_parts

SETTINGS_VARIABLE = 'CUMINTACK_SETTINGS'
EXIT_NO_SETTINGS = 2


def main() -> None:
    """Run until the platform stops the process."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        sys.stderr.write(f'{SETTINGS_VARIABLE} is not set\n')
        sys.exit(EXIT_NO_SETTINGS)
    run(pathlib.Path(path), is_bootstrap=False, create_more=create_parts)


if __name__ == '__main__':
    main()
