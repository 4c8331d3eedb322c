"""Stand-in of the service that advises on the workers of a step."""

import http.server
import json
import threading
import time


class Adviser:
    """Admits all workers; serves the calls of one machine in turn."""

    def __init__(self, record, address, decide_ms, each_worker_ms, valid_ms):
        self.record = record
        self.address = address
        self.decide_ms = decide_ms
        self.each_worker_ms = each_worker_ms
        self.valid_ms = valid_ms
        self.calls = {}
        self._turns = {}
        self._lock = threading.Lock()
        adviser = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def log_message(self, *_words):
                """Write nothing."""

            def do_POST(self):
                length = int(self.headers.get('Content-Length') or 0)
                body = json.loads(self.rfile.read(length))
                encoded = json.dumps(adviser.advise(self.client_address, body)).encode()
                self.send_response(200)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(encoded)))
                self.end_headers()
                self.wfile.write(encoded)

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, client_address):
                """Ignore connections that break off."""

        host, _, port = address.rpartition(':')
        self.server = Server((host, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def advise(self, caller, body):
        with self._lock:
            turn = self._turns.setdefault(caller, threading.Lock())
            self.calls[body['step']] = self.calls.get(body['step'], 0) + 1
        with turn:
            time.sleep((self.decide_ms + self.each_worker_ms * len(body['workers'])) / 1000)
        expires_ms = int(time.monotonic() * 1000) + self.valid_ms
        self.record.write(f'adviser: step {body["step"]}, {len(body["workers"])} workers')
        return {
            'good': [[worker, f'{body["step"]}/{worker}/{expires_ms}'] for worker in body['workers']],
            'valid_ms': self.valid_ms,
        }

    @staticmethod
    def is_valid(ticket, task, worker_id):
        """Tell whether a worker accepts the ticket of a start."""
        step, _, rest = ticket.partition('/')
        worker, _, expires_ms = rest.partition('/')
        is_same = step == task.rpartition('.')[0] and worker == worker_id
        return is_same and int(expires_ms or 0) >= time.monotonic() * 1000
