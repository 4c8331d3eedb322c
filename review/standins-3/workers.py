"""Stand-in of the platform's workers, after PROTOCOL.md.

Each worker has one guard of the project beside it, to which it sends its
heartbeats. What a worker is told to do, and what becomes of it, goes into the
record of the case.
"""

import http.server
import json
import socket
import threading
import time
import urllib.error
import urllib.request

from adviser import Adviser

HEARTBEAT_S = 1.5
HEARTBEAT_TIMEOUT_S = 1.0
TICK_S = 0.02
MAX_HOLD_MS = 10000
MAX_LISTED_ENDS = 500
STOP_S = 0.1
CHECKPOINT_S = 0.5
GANG_WAIT_S = 3.0


class Record:
    """The record of a case: one line for each thing that was seen."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self.started_at_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self.started_at_s

    def write(self, text):
        with self._lock:
            self._file.write(f'{self.now_s():9.3f} {text}\n')
            self._file.flush()


class Run:
    """A run that a worker has begun."""

    def __init__(self, task, number, spec, checkpoint):
        self.task = task
        self.number = number
        self.spec = spec
        self.checkpoint = checkpoint
        self.checkpoint0 = checkpoint
        # The checkpoint is the work that is done, in ms.
        self.done_s = int(checkpoint, 16) / 1000 if checkpoint else 0.0
        self.began_at_s = time.monotonic()
        self.stopping_at_s = None
        self.is_alone = False

    def work_s(self):
        """Seconds of work; 0 for a task that lasts."""
        return self.spec.get('work_s', 1.0)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, address, handler):
        self.connections = set()
        super().__init__(address, handler)

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore connections that break off."""


class Gangs:
    """Members of gangs at all workers: they work only together."""

    def __init__(self):
        self.lock = threading.RLock()
        self.present = {}

    @staticmethod
    def key(run):
        return (run.task.rpartition('.')[0], run.number)

    def add(self, worker, run):
        with self.lock:
            self.present.setdefault(self.key(run), {})[run.task] = (worker, run)

    def is_complete(self, run):
        with self.lock:
            members = self.present.get(self.key(run), {})
            return len(members) >= run.spec['gang']

    def end_others(self, run, how):
        with self.lock:
            members = self.present.pop(self.key(run), {})
        for worker, other in members.values():
            if other is not run:
                worker.end_run(other, how)


class Worker:
    """A worker; its HTTP server is closed while it is down."""

    def __init__(self, record, worker_id, app, control, **options):
        self.record = record
        self.worker_id = worker_id
        self.app = app
        self.control = control
        self.service = options.get('service', 'desk')
        self.zone = options.get('zone', 'north')
        self.capacity = options.get(
            'capacity', {'cpu': 32000, 'mem_mb': 125000, 'gpu': 0}
        )
        self.labels = options.get('labels', ['a', 'r1-1'])
        self.gangs = options.get('gangs') or Gangs()
        # Called as on_start(worker, run) once a run has begun.
        self.on_start = options.get('on_start')
        # Called as on_call(worker, path, body); may return a status.
        self.on_call = options.get('on_call')
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.life = 0
        self.is_up = False
        self.is_closed = False
        self.state = 'ready'
        self.drain_ends_at_s = 0.0
        self.starts = []
        self.dark_lives = set()
        self.server = None
        threading.Thread(target=self._tick_loop, daemon=True).start()

    # Lives

    def begin_life(self, worker_id='', first_heartbeat_s=0.0):
        """Start with nothing known, and announce itself."""
        with self.lock:
            self.life += 1
            self.worker_id = worker_id or self.worker_id
            self.born_ms = int(time.time() * 1000)
            self.born_at_s = time.monotonic()
            self.sequence = 0
            self.fence = 0
            self.running = {}
            self.latest = {}
            self.ended = []
            self.end_count = 0
            self.lease_ends_ms = 0
            self.state = 'ready'
            self.is_up = True
        if self.server is not None and self.life - 1 in self.dark_lives:
            # Only new channels reach the new life.
            self.server.shutdown()
            self.server.server_close()
        worker = self
        life = self.life

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def log_message(self, *_words):
                """Write nothing."""

            def do_GET(self):
                self._reply(200, {})

            def do_POST(self):
                length = int(self.headers.get('Content-Length') or 0)
                body = json.loads(self.rfile.read(length) or b'{}')
                expected = self.headers.get('X-Expect-Instance')
                if expected not in {None, worker.worker_id}:
                    self._reply(421, worker.describe())
                    return
                if worker.life != life or not worker.is_up:
                    worker._stay_silent(life)
                    self.close_connection = True
                    return
                status, reply = worker.handle(self.path, body)
                if status is None:
                    worker._stay_silent(life)
                    self.close_connection = True
                    return
                self._reply(status, reply)

            def _reply(self, status, body):
                encoded = json.dumps(body).encode()
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(encoded)))
                self.end_headers()
                self.wfile.write(encoded)

        host, _, port = self.app.rpartition(':')
        self.server = _Server((host, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        self.record.write(f'worker {self.worker_id}: life {self.life} begins')
        threading.Thread(
            target=self._heartbeat_loop, args=(self.life, first_heartbeat_s), daemon=True
        ).start()

    def crash(self, is_dark=False):
        """End at once, with all that runs.

        A dark worker is silent: its channels are not reset, and calls to it
        get no answer until the caller gives up.
        """
        with self.lock:
            if not self.is_up:
                return
            self.is_up = False
            names = [f'{run.task}/{run.number}' for run in self.running.values()]
            runs = list(self.running.values())
            self.running = {}
            if is_dark:
                self.dark_lives.add(self.life)
            self.changed.notify_all()
        how = 'goes dark' if is_dark else 'crashes'
        self.record.write(f'worker {self.worker_id}: {how}, with {names}')
        if not is_dark:
            self._close_server()
        for run in runs:
            if 'gang' in run.spec:
                self.gangs.end_others(run, 'broken')

    def _close_server(self):
        server = self.server
        server.shutdown()
        server.server_close()
        for connection in list(server.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _stay_silent(self, life):
        """Keep a channel to a life that went dark without an answer."""
        while life in self.dark_lives and not self.is_closed:
            time.sleep(0.1)

    def close(self):
        self.is_closed = True
        self.crash()

    # Announcements

    def clock_ms(self):
        return int((time.monotonic() - self.born_at_s) * 1000)

    def describe(self):
        return {'clock_ms': self.clock_ms(), 'born': self.born_ms}

    def _heartbeat_loop(self, life, first_heartbeat_s):
        time.sleep(first_heartbeat_s)
        while self.is_up and self.life == life and not self.is_closed:
            self.send_heartbeat()
            time.sleep(HEARTBEAT_S)

    def send_heartbeat(self):
        with self.lock:
            self.sequence += 1
            body = {
                'service': self.service,
                'address': self.app,
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'cold_remaining_ms': 0,
                'capacity': self.capacity,
                'labels': self.labels,
                'clock_ms': self.clock_ms(),
                'born': self.born_ms,
                'sequence': self.sequence,
            }
            if self.state == 'draining':
                left_s = max(0.0, self.drain_ends_at_s - time.monotonic())
                body['drain_remaining_ms'] = int(left_s * 1000)
        return self._post(f'/v1/instances/{self.worker_id}/heartbeat', body)

    def _post(self, path, body):
        request = urllib.request.Request(
            f'http://{self.control}{path}',
            json.dumps(body).encode(),
            {'Content-Type': 'application/json'},
        )
        try:
            with urllib.request.urlopen(request, timeout=HEARTBEAT_TIMEOUT_S) as answer:
                answer.read()
                return answer.status
        except (urllib.error.URLError, OSError) as error:
            return getattr(error, 'code', None)

    # Calls of the guard

    def handle(self, path, body):
        if self.on_call is not None:
            status = self.on_call(self, path, body)
            if status is not None:
                return (status or None), self.describe()
        return self.carry_out(path, body)

    def carry_out(self, path, body):
        with self.lock:
            if not self.is_up:
                return None, {}
            token = body.get('fencing_token', 0)
            if token < self.fence:
                return 409, {**self.describe(), 'reason': 'fence'}
            self.fence = token
            self._expire()
            if path == '/v1/run-start':
                return self._start(body)
            if path == '/v1/run-stop':
                return self._stop(body)
            if path == '/v1/hold':
                return self._hold(body)
            if path == '/v1/pace':
                return 200, self.describe()
            return 404, self.describe()

    def _extend(self, deadline_ms):
        longest_ms = self.clock_ms() + MAX_HOLD_MS
        self.lease_ends_ms = max(self.lease_ends_ms, min(deadline_ms, longest_ms))

    def _refuse(self, body, reason):
        self.record.write(
            f'worker {self.worker_id}: refuses start of {body["task"]}/{body["run"]}: {reason}'
        )
        return 409, {**self.describe(), 'reason': reason}

    def used(self):
        names = ('cpu', 'mem_mb', 'gpu')
        return {
            name: sum(run.spec.get(name, 0) for run in self.running.values())
            for name in names
        }

    def _start(self, body):
        task, number = body['task'], body['run']
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, self.describe()
        if body['deadline_ms'] <= self.clock_ms():
            return self._refuse(body, 'late')
        if number <= self.latest.get(task, 0) or present is not None:
            self._extend(body['deadline_ms'])
            return self._refuse(body, 'old')
        run = Run(task, number, json.loads(body['spec']), body.get('checkpoint', ''))
        run.ticket = body.get('ticket', '')
        self._extend(body['deadline_ms'])
        if run.spec.get('advised') and not Adviser.is_valid(run.ticket, task, self.worker_id):
            return self._refuse(body, 'ticket')
        used = self.used()
        for name, amount in self.capacity.items():
            if used[name] + run.spec.get(name, 0) > amount:
                return self._refuse(body, 'room')
        self.running[task] = run
        self.starts.append(run)
        self.record.write(
            f'worker {self.worker_id}: starts {task}/{number}'
            f' checkpoint {run.checkpoint!r}'
        )
        if 'gang' in run.spec:
            self.gangs.add(self, run)
        if self.on_start is not None:
            threading.Thread(target=self.on_start, args=(self, run), daemon=True).start()
        return 200, self.describe()

    def _stop(self, body):
        task, number = body['task'], body['run']
        self.latest[task] = max(number, self.latest.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number <= number and run.stopping_at_s is None:
            run.stopping_at_s = time.monotonic()
        return 200, self.describe()

    def _hold(self, body):
        if body.get('ack_seq'):
            self.ended = [row for row in self.ended if row[0] > body['ack_seq']]
        if body.get('deadline_ms'):
            self._extend(body['deadline_ms'])
        wait_until_s = time.monotonic() + min(body.get('wait_ms', 0), 2000) / 1000
        life = self.life
        while self.is_up and self.life == life and not self.ended:
            left_s = wait_until_s - time.monotonic()
            if left_s <= 0:
                break
            self.changed.wait(left_s)
        if not self.is_up or self.life != life:
            return None, {}
        rows = [
            [run.task, run.number, run.checkpoint, self._percent(run), run.spec.get('cpu', 0)]
            for run in self.running.values()
        ]
        return 200, {
            **self.describe(),
            'running': rows,
            'finished': self.ended[:MAX_LISTED_ENDS],
        }

    def _percent(self, run):
        if not run.work_s():
            return 100
        return min(99, int(100 * run.done_s / run.work_s()))

    # Work

    def _tick_loop(self):
        latest_s = time.monotonic()
        while not self.is_closed:
            time.sleep(TICK_S)
            now_s = time.monotonic()
            elapsed_s, latest_s = now_s - latest_s, now_s
            with self.lock:
                if self.is_up:
                    self._expire()
                    runs = list(self.running.values())
                else:
                    runs = []
            for run in runs:
                self._advance(run, now_s, elapsed_s)

    def _expire(self):
        if self.running and self.clock_ms() > self.lease_ends_ms:
            for run in list(self.running.values()):
                self.end_run(run, 'lapsed')

    def _advance(self, run, now_s, elapsed_s):
        if run.stopping_at_s is not None:
            if now_s - run.stopping_at_s >= STOP_S:
                self._save(run)
                self.end_run(run, 'stopped')
            return
        if 'gang' in run.spec and not self.gangs.is_complete(run):
            if now_s - run.began_at_s >= GANG_WAIT_S:
                self.end_run(run, 'alone')
            return
        before_s = run.done_s
        run.done_s += elapsed_s
        if int(before_s / CHECKPOINT_S) != int(run.done_s / CHECKPOINT_S):
            self._save(run)
        if run.work_s() and run.done_s >= run.work_s():
            self.end_run(run, run.spec.get('ends', 'done'))

    def _save(self, run):
        if run.spec.get('saves'):
            run.checkpoint = f'{int(run.done_s * 1000):016x}'

    def end_run(self, run, how):
        with self.lock:
            if not self.is_up or self.running.get(run.task) is not run:
                return
            if how == 'broken':
                self._save(run)
            del self.running[run.task]
            self.latest[run.task] = max(run.number, self.latest.get(run.task, 0))
            self.end_count += 1
            self.ended.append([self.end_count, run.task, run.number, how, run.checkpoint])
            self.changed.notify_all()
        self.record.write(f'worker {self.worker_id}: {run.task}/{run.number} ends {how}')
        if 'gang' in run.spec:
            self.gangs.end_others(run, 'done' if how == 'done' else 'broken')
