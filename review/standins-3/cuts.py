"""Proxies before the control replicas that cut one machine off.

What the machine sends while it is cut off is held and delivered, in the order
in which it was sent, once the cut is over.
"""

import socket
import threading
import time

CHUNK_BYTES = 65536
SEEN_BYTES = 1024


class _Link:
    def __init__(self, hub, client, server):
        self.hub = hub
        self.client = client
        self.server = server
        self.is_of_machine = False
        # The first bytes, which tell the sender of all that follows.
        self.seen = b''
        self.held = []
        for source, target, is_inbound in ((client, server, True), (server, client, False)):
            threading.Thread(
                target=self._relay, args=(source, target, is_inbound), daemon=True
            ).start()

    def _relay(self, source, target, is_inbound):
        while True:
            try:
                chunk = source.recv(CHUNK_BYTES)
            except OSError:
                chunk = b''
            time.sleep(self.hub.delay_s)
            with self.hub.lock:
                if is_inbound:
                    self.seen = (self.seen + chunk)[:SEEN_BYTES]
                    self.is_of_machine = self.is_of_machine or self.hub.name in chunk
                if self.hub.is_cut and self.is_of_machine:
                    self.held.append((target, chunk))
                else:
                    self._pass_on(target, chunk)
            if not chunk:
                return

    @staticmethod
    def _pass_on(target, chunk):
        try:
            if chunk:
                target.sendall(chunk)
            else:
                target.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def release(self):
        for target, chunk in self.held:
            self._pass_on(target, chunk)
        self.held = []


class Hub:
    """All proxies; ``name`` is the machine that is cut off, or was last."""

    def __init__(self, delay_s):
        self.name = b'none'
        self.delay_s = delay_s
        self.is_cut = False
        self.lock = threading.RLock()
        self.links = []

    def serve(self, address, target):
        """Listen at one address and connect to another one."""
        server = socket.create_server(address, backlog=64)
        threading.Thread(target=self._accept, args=(server, target), daemon=True).start()

    def _accept(self, server, target):
        while True:
            client, _peer = server.accept()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                upstream = socket.create_connection(target, timeout=1)
            except OSError:
                client.close()
                continue
            upstream.settimeout(None)
            upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.links.append(_Link(self, client, upstream))

    def cut(self, name):
        with self.lock:
            self.name = name.encode()
            self.is_cut = True
            for link in self.links:
                link.is_of_machine = self.name in link.seen

    def heal(self):
        with self.lock:
            self.is_cut = False
            for link in self.links:
                link.release()
