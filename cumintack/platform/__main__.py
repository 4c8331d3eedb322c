"""Runs a process on a machine of the users.

The platform names the settings file in a variable and does not say which
role a process has but by its settings.
"""

import faulthandler
import os
import pathlib
import sys
import traceback

from cumintack.daemon.main import run
from cumintack.platform.components import create_components

SETTINGS_VARIABLE = 'CUMINTACK_SETTINGS'
EXIT_NO_SETTINGS = 2


def main() -> None:
    """Run until the platform stops the process."""
    # An end by a fatal signal leaves the stacks of all threads in the log.
    faulthandler.enable()
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        sys.stderr.write(f'{SETTINGS_VARIABLE} is not set\n')
        sys.exit(EXIT_NO_SETTINGS)
    status = 0
    try:
        run(
            pathlib.Path(path),
            is_bootstrap=False,
            create_extra_components=create_components,
        )
    except SystemExit as stop:
        status = int(stop.code or 0)
    except BaseException:
        traceback.print_exc()
        status = 1
    finally:
        sys.stderr.flush()
        # Threads that wait for a worker or a caller must not delay the end.
        os._exit(status)  # noqa: WPS437


if __name__ == '__main__':
    main()
