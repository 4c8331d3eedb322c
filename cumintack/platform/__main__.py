"""Entry point of a process that the users' platform starts.

The platform passes the path of the settings file in an environment variable.
The settings file is all that tells the process its role.
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
    # On a fatal signal, the stacks of all threads are written to the log.
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
        # Exit without joining threads that wait for a worker or a caller.
        os._exit(status)  # noqa: WPS437


if __name__ == '__main__':
    main()
