"""HTTP server of a control replica for operators.

An adapter supplies the handler of the requests.
"""

from cumintack.protocol.messages import Message
from cumintack.state.configuration import Configuration
from cumintack.transport.http_server import HttpHandler, HttpServer

SERVER_THREADS = 8
# Enough for a configuration with several thousand queues.
MAX_BODY_BYTES = 4194304


class OperatorComponent:
    """The component that serves operators at a control replica."""

    __slots__ = ('_server',)

    def __init__(self, address: str, operator_handler: HttpHandler) -> None:
        """Listen for requests of operators."""
        self._server = HttpServer(
            address, operator_handler, SERVER_THREADS, MAX_BODY_BYTES
        )
        self._server.start()

    def handle(self, sender: str, message: Message) -> bool:
        """Ignore all messages; none is for this component."""
        return False

    def tick(self, now_s: float) -> None:
        """Do nothing; requests are served by the server's threads."""

    def apply_configuration(self, configuration: Configuration) -> None:
        """Do nothing: the leader resolves queues."""

    def begin_stop(self) -> None:
        """Do nothing: open requests are answered when the server stops."""

    def is_idle(self) -> bool:
        """Return true: the server waits for open requests when it stops."""
        return True

    def close(self) -> None:
        """Stop the server once its threads have answered open requests."""
        self._server.stop()
