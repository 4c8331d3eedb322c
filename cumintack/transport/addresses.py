"""Addresses written as ``host:port``."""

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def is_address(text: str) -> bool:
    """Tell whether a text is ``host:port`` with a port that can be used.

    Args:
        text: The text, which may come from another program.

    Returns:
        Whether it has a host and a port in 1..65535.
    """
    host, _, port = text.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or len(port) > MAX_PORT_DIGITS:
        return False
    return 0 < int(port) <= MAX_PORT
