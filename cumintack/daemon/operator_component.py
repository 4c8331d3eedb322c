"""Where operators reach a control replica, through an adapter."""

from cumintack.protocol.messages import Message
from cumintack.state.configuration import Configuration
from cumintack.transport.http_server import HttpHandler, HttpServer

SERVER_THREADS = 8
# Bytes; a configuration of some thousand queues.
MAX_BODY_BYTES = 4194304


class OperatorComponent:
    """A server for operators within a process."""

    __slots__ = ('_server',)

    def __init__(self, address: str, operator_handler: HttpHandler) -> None:
        """Listen for operators."""
        self._server = HttpServer(
            address, operator_handler, SERVER_THREADS, MAX_BODY_BYTES
        )
        self._server.start()

    def handle(self, sender: str, message: Message) -> bool:
        """Handle a message; none is for this part."""
        return False

    def tick(self, now_s: float) -> None:
        """Let time pass."""

    def apply_configuration(self, configuration: Configuration) -> None:
        """Do nothing: queues are resolved by the leader."""

    def begin_stop(self) -> None:
        """Go on: requests in hand are answered before the end."""

    def is_idle(self) -> bool:
        """Return whether nothing is in flight here."""
        return True

    def close(self) -> None:
        """Stop the server once its threads have answered."""
        self._server.stop()
