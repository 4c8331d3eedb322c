"""Receiver of statsd metrics: latest gauges and summed counters by name."""

import collections
import socket
import threading

from cumintack.transport.http_server import find_free_port

MAX_DATAGRAM = 65536


class StatsdSink:
    """Receives metrics on a UDP socket, in a thread of its own."""

    __slots__ = ('_socket', '_stopped', 'counters', 'gauges', 'port')

    def __init__(self) -> None:
        """Listen on a free port of loopback."""
        self.port = find_free_port()
        self.gauges: dict[str, float] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(('127.0.0.1', self.port))
        self._socket.settimeout(0.2)
        self._stopped = threading.Event()
        threading.Thread(target=self._read, daemon=True).start()

    def stop(self) -> None:
        """Stop reading."""
        self._stopped.set()

    def _read(self) -> None:
        while not self._stopped.is_set():
            try:
                datagram = self._socket.recv(MAX_DATAGRAM)
            except TimeoutError:
                continue
            for line in datagram.decode().splitlines():
                self._record_metric(line)

    def _record_metric(self, line: str) -> None:
        name, _, rest = line.partition(':')
        number, _, kind = rest.partition('|')
        if kind.startswith('g'):
            self.gauges[name] = float(number)
        elif kind.startswith('c'):
            self.counters[name] += int(number)
