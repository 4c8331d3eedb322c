"""A process that has served its last request ends at once."""

from cumintack.daemon.node import GOODBYE_LINGER_S

# Callers lose nothing if a connection ends within this time after a request
# was sent: they send it again. Half of it is left for everything else.
LOSS_WINDOW_S = 0.2


def test_last_messages_do_not_hold_the_process() -> None:
    """A peer that reads nothing must not keep a stopped process alive."""
    assert GOODBYE_LINGER_S <= LOSS_WINDOW_S / 2
