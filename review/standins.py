"""Stand-ins for the review: platform, worker, client, and the group itself.

Only the standard library is used. The processes of the group are started as in
deploy/system.toml, with settings rendered from its templates; each machine has
a loopback address of its own, as each machine of a deployment has.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'queue.example'
PREFIX = '/jobs/'
# Bounds of the small deployment, as in DEPLOY.md.
BOUNDS = {
    'grace_s': 6,
    'max_hold_ms': 10000,
    'stop_timeout_ms': 900,
    'gang_wait_ms': 3000,
    'checkpoint_s': 0.5,
    'finish_s': 14,
}


class Record:
    """The record of what was sent, answered and run, with times."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self.started_at = time.monotonic()

    def __call__(self, *words):
        at_s = time.monotonic() - self.started_at
        line = ' '.join(str(word) for word in words)
        with self._lock:
            self._file.write(f'{at_s:8.3f} {line}\n')
            self._file.flush()


class QuietServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        pass


class Worker:
    """A worker as PROTOCOL.md describes it, with a steady clock of its own.

    Subclasses and scripts change what the pages allow: how a task ends, and
    when the worker crashes.
    """

    def __init__(self, record, name, machine, capacity, labels, **options):
        self.record = record
        self.name = name
        self.machine = machine
        self.capacity = capacity
        self.labels = labels
        self.service = options.get('service', 'svc')
        # Called with the run when it would end; returns how it ends.
        self.choose_end = options.get('choose_end', lambda run: 'done')
        # Called with the run after it has started.
        self.on_start = options.get('on_start', lambda run: None)
        self.gangs = options.get('gangs')
        # Whether a later life has the id of the earlier one.
        self.keeps_id = False
        # Whether calls get no answer and do nothing.
        self.is_mute = False
        self.lock = threading.RLock()
        self.news = threading.Condition(self.lock)
        self.is_up = True
        self.is_closed = False
        self.state = 'ready'
        self.life = 0
        self.starts = []
        # Ends that ack_seq has reached while no lease lapsed in between.
        self.noted = set()
        self.lapsed_at = 0.0
        self.most_listed = 0
        self.sockets = set()
        self.server = None
        self._begin_life()
        threading.Thread(target=self._advance_loop, daemon=True).start()
        threading.Thread(target=self._heartbeat_loop, daemon=True).start()

    def _begin_life(self):
        self.life += 1
        if not self.keeps_id or self.life == 1:
            self.id = f'i-{self.name}-{self.life}'
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_until_ms = 0
        self.running = {}
        self.highest = {}
        self.finished = []
        self.ended_count = 0
        self.ended_at = {}
        self.is_up = True
        self._listen()
        self.record(f'worker {self.name} up id={self.id} born={self.born}')

    def _listen(self):
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            timeout = 30
            wbufsize = -1
            disable_nagle_algorithm = True

            def setup(self):
                worker.sockets.add(self.request)
                super().setup()

            def log_message(self, *_words):
                pass

            def do_POST(self):
                size = int(self.headers.get('Content-Length') or 0)
                body = json.loads(self.rfile.read(size) or b'{}')
                wanted = self.headers.get('X-Expect-Instance', '')
                status, reply = worker.answer(self.path, body, wanted)
                encoded = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(encoded)))
                self.end_headers()
                self.wfile.write(encoded)

        host, port = self.machine['app'].split(':')
        self.server = QuietServer((host, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000) + 1

    def crash(self, down_s):
        """End this life at once, and begin another one after a while."""
        with self.lock:
            if not self.is_up:
                return
            self.is_up = False
            for run in self.running.values():
                run['gone'] = time.monotonic()
                if self.gangs is not None and run['step_is_gang']:
                    self.gangs.break_others(run)
                self.record(f'worker {self.name} crashes with {run["task"]} run={run["run"]}')
            self.running = {}
            self.record(f'worker {self.name} crashed id={self.id}')
        server = self.server
        server.shutdown()
        server.server_close()
        for connection in list(self.sockets):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()
            except OSError:
                pass
        self.sockets.clear()
        time.sleep(down_s)
        if not self.is_closed:
            with self.lock:
                self._begin_life()

    def leave(self, drain_s):
        """Report draining for a while, then leave for good."""
        with self.lock:
            self.state = 'draining'
            self.leaves_at = time.monotonic() + drain_s
        self.record(f'worker {self.name} drains')
        time.sleep(drain_s)
        self._post(f'/v1/instances/{self.id}/leave', {})
        with self.lock:
            self.is_up = False
            self.is_closed = True
            self.running = {}
        self.server.shutdown()
        self.server.server_close()
        self.record(f'worker {self.name} left')

    def close(self):
        self.is_closed = True
        self.is_up = False

    def _post(self, path, body):
        host, port = self.machine['control'].split(':')
        try:
            connection = http.client.HTTPConnection(host, int(port), timeout=1)
            connection.request('POST', path, json.dumps(body), {'Content-Type': 'application/json'})
            response = connection.getresponse()
            response.read()
            connection.close()
            return response.status
        except (OSError, http.client.HTTPException):
            return 0

    def _heartbeat_loop(self):
        while not self.is_closed:
            with self.lock:
                is_up = self.is_up
                self.sequence += 1
                body = {
                    'service': self.service, 'address': self.machine['app'],
                    'zone': self.machine['zone'], 'version': 'v1', 'slots': 8,
                    'state': self.state, 'cold_remaining_ms': 0,
                    'capacity': self.capacity, 'labels': self.labels,
                    'clock_ms': self.clock_ms(), 'sequence': self.sequence,
                    'born': self.born,
                }
                if self.state == 'draining':
                    left_s = max(0, self.leaves_at - time.monotonic())
                    body['drain_remaining_ms'] = int(left_s * 1000)
                path = f'/v1/instances/{self.id}/heartbeat'
            if is_up:
                self._post(path, body)
            time.sleep(0.5)

    def _advance_loop(self):
        while not self.is_closed:
            time.sleep(0.01)
            with self.lock:
                if not self.is_up:
                    continue
                if self.clock_ms() > self.lease_until_ms:
                    self.lapsed_at = time.monotonic()
                for run in list(self.running.values()):
                    self._advance(run)

    def _advance(self, run):
        now = time.monotonic()
        if self.clock_ms() > self.lease_until_ms:
            self._end(run, 'lapsed')
            return
        if run.get('stop_at') and now >= run['stop_at']:
            self._end(run, 'stopped')
            return
        if run.get('break'):
            self._end(run, run['break'])
            return
        if self.gangs is not None and run['step_is_gang']:
            self.gangs.advance(self, run, now)
            return
        run['done_s'] = run['base_s'] + (now - run['began'])
        self._save(run)
        if run['work_s'] is not None and run['done_s'] >= run['work_s']:
            self._end(run, self.choose_end(run))

    def _save(self, run):
        saves = int(run['done_s'] / BOUNDS['checkpoint_s'])
        if run['saves_on'] and saves and saves != run.get('saves'):
            run['saves'] = saves
            run['saved'] = f'{saves:04x}.{run["task"]}'

    def _end(self, run, how):
        self.running.pop(run['task'], None)
        run['gone'] = time.monotonic()
        run['how'] = how
        self.ended_count += 1
        self.highest[run['task']] = max(self.highest.get(run['task'], 0), run['run'])
        self.finished.append([self.ended_count, run['task'], run['run'], how, run['saved']])
        self.ended_at[self.ended_count] = run['gone']
        self.record(f'worker {self.name} end {run["task"]} run={run["run"]} how={how} saved={run["saved"]}')
        if self.gangs is not None and run['step_is_gang'] and how != 'done':
            self.gangs.break_others(run)
        self.news.notify_all()

    def _free(self):
        used = {'cpu': 0, 'mem_mb': 0, 'gpu': 0}
        for run in self.running.values():
            for name in used:
                used[name] += run['need'].get(name, 0)
        return {name: self.capacity[name] - used[name] for name in used}

    def answer(self, path, body, wanted):
        if self.is_mute:
            time.sleep(4)
            raise ConnectionAbortedError('mute')
        if path == '/v1/hold':
            return self._answer_hold(body, wanted)
        with self.lock:
            if not self.is_up or wanted != self.id:
                return 421, {'clock_ms': self.clock_ms()}
            if body.get('fencing_token', 0) < self.fence:
                return 409, {'clock_ms': self.clock_ms(), 'reason': 'fence'}
            self.fence = body.get('fencing_token', 0)
            if path == '/v1/run-start':
                return self._start(body)
            if path == '/v1/run-stop':
                run = self.running.get(body['task'])
                if run is not None and run['run'] <= body['run'] and not run.get('stop_at'):
                    run['stop_at'] = time.monotonic() + 0.1
                self.highest[body['task']] = max(self.highest.get(body['task'], 0), body['run'])
                self.record(f'worker {self.name} told to stop {body["task"]} run={body["run"]}')
            return 200, {'clock_ms': self.clock_ms()}

    def _refuse(self, body, reason):
        self.record(f'worker {self.name} refuses {body["task"]} run={body["run"]} reason={reason}')
        return 409, {'clock_ms': self.clock_ms(), 'reason': reason}

    def _extend(self, deadline_ms):
        longest = self.clock_ms() + BOUNDS['max_hold_ms']
        self.lease_until_ms = max(self.lease_until_ms, min(deadline_ms, longest))

    def _start(self, body):
        task, number = body['task'], body['run']
        there = self.running.get(task)
        if there is not None and there['run'] == number:
            return 200, {'clock_ms': self.clock_ms()}
        if body['deadline_ms'] < self.clock_ms():
            return self._refuse(body, 'late')
        self._extend(body['deadline_ms'])
        if there is not None or number <= self.highest.get(task, 0):
            return self._refuse(body, 'old')
        spec = json.loads(body['spec'])
        step = spec[int(task.split('.')[2])]
        need = {name: step.get(name, 0) for name in ('cpu', 'mem_mb', 'gpu')}
        free = self._free()
        if any(need[name] > free[name] for name in need):
            return self._refuse(body, 'room')
        checkpoint = body.get('checkpoint', '')
        base_s = 0.0
        if checkpoint:
            base_s = int(checkpoint.partition('.')[0], 16) * BOUNDS['checkpoint_s'] - 0.25
        run = {
            'task': task, 'run': number, 'need': need, 'began': time.monotonic(),
            'work_s': step.get('work_s'), 'base_s': base_s, 'done_s': base_s,
            'saved': checkpoint, 'saves_on': step.get('saves', False),
            'checkpoint': checkpoint, 'worker': self.name, 'gone': None,
            'step_is_gang': step.get('gang', 0),
        }
        self.running[task] = run
        self.starts.append(run)
        self.record(
            f'worker {self.name} start {task} run={number} '
            f'fence={body.get("fencing_token", 0)} checkpoint={checkpoint!r}'
        )
        if self.gangs is not None and run['step_is_gang']:
            self.gangs.add(self, run)
        self.on_start(run)
        return 200, {'clock_ms': self.clock_ms()}

    def _answer_hold(self, body, wanted):
        until = time.monotonic() + min(2000, body.get('wait_ms', 0)) / 1000
        with self.lock:
            if not self.is_up or wanted != self.id:
                return 421, {'clock_ms': self.clock_ms()}
            life = self.life
            if body.get('fencing_token', 0) < self.fence:
                return 409, {'clock_ms': self.clock_ms(), 'reason': 'fence'}
            self.fence = body.get('fencing_token', 0)
            if body.get('deadline_ms'):
                self._extend(body['deadline_ms'])
            acked = body.get('ack_seq', 0)
            self._take_note(acked)
            while not self.finished and time.monotonic() < until and self.life == life:
                self.news.wait(max(0, until - time.monotonic()))
            running = []
            for run in self.running.values():
                if run['work_s']:
                    percent = min(99, int(run['done_s'] / run['work_s'] * 100))
                else:
                    percent = 100
                running.append([run['task'], run['run'], run['saved'], percent, run['need']['cpu']])
            self.most_listed = max(self.most_listed, len(self.finished))
            return 200, {
                'clock_ms': self.clock_ms(), 'born': self.born,
                'running': running, 'finished': list(self.finished[:500]),
            }

    def _take_note(self, acked):
        for row in self.finished:
            if row[0] <= acked:
                self.record(f'worker {self.name} ack_seq={acked} reaches end {row[0]} of {row[1]} run={row[2]} how={row[3]}')
                if self.lapsed_at < self.ended_at[row[0]]:
                    self.noted.add((row[1], row[2]))
        self.finished = [row for row in self.finished if row[0] > acked]


class Gangs:
    """Lets the members of gangs work only together, over all workers.

    A gang begins when all members of one run are present and carry the same
    checkpoint; a member that waits longer than gang_wait_ms ends `alone`.
    """

    def __init__(self):
        self.lock = threading.RLock()
        self.runs = {}

    def add(self, worker, run):
        with self.lock:
            members = self.runs.setdefault(self._key(run), {})
            members[run['task']] = (worker, run)
            if len(members) < run['step_is_gang']:
                return
            if len({member['checkpoint'] for _, member in members.values()}) > 1:
                return
            for _, member in members.values():
                member['joined'] = time.monotonic()

    def advance(self, worker, run, now):
        if not run.get('joined'):
            if now - run['began'] > BOUNDS['gang_wait_ms'] / 1000:
                worker._end(run, 'alone')
            return
        run['done_s'] = run['base_s'] + (now - run['joined'])
        worker._save(run)
        if run['done_s'] >= run['work_s']:
            worker._end(run, worker.choose_end(run))

    def break_others(self, run):
        with self.lock:
            for _, member in self.runs.get(self._key(run), {}).values():
                if member is not run and member.get('joined'):
                    member['break'] = 'broken'

    @staticmethod
    def _key(run):
        return run['task'].rpartition('.')[0], run['run']


def _render(template, values):
    """Render the few placeholders that the templates of deploy/ use."""

    def replace(match):
        name, _, kind = match[1].partition('|')
        value = values
        for part in name.split('.'):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
        if kind == 'json':
            return json.dumps(value)
        return '' if value is None else str(value)

    return re.sub(r'\{\{([^}]*)\}\}', replace, template)


def _find_network(ports):
    """Find a free range of loopback addresses."""
    rng = random.SystemRandom()
    for _ in range(200):
        base = f'127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}'
        try:
            for host in (1, 30):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f'{base}.{host}', port))
        except OSError:
            continue
        return base
    sys.exit(2)


class Group:
    """The processes of a small deployment: 3 control, some entries, guards."""

    def __init__(self, record, guard_count, entry_count=2):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='cumintack-review-'))
        base = _find_network((8161, 8166, 8167, 8169, 7720, 9464))
        zones = ('north-yard', 'south-yard', 'east-yard')
        self.processes = {}
        self.values = {}
        self.controls = [f'{base}.{10 + index}' for index in range(3)]
        self.entries = []
        self.machines = []
        self.base = base
        for index in range(3):
            ip = self.controls[index]
            self._add(f'core-{index}', 'control', ip, zones[index], {'control': f'{ip}:8166'})
        for index in range(entry_count):
            ip = f'{base}.{30 + index}'
            bind = {'front': f'{ip}:8161', 'ready': f'{ip}:8167'}
            self._add(f'edge-{index}', 'entry', ip, zones[index % 3], bind)
            self.entries.append((f'{ip}', 8161))
        for index in range(guard_count):
            ip = f'{base}.{50 + index}'
            bind = {'control': f'{ip}:8166'}
            zone = zones[index % 3]
            app = f'{ip}:8169'
            self._add(f'side-{index}', 'guard', ip, zone, bind, app)
            self.machines.append({'control': f'{ip}:8166', 'app': app, 'zone': zone, 'node': f'side-{index}'})

    def _add(self, name, role, ip, zone, bind, app=None):
        values = {
            'node_name': name, 'ip': ip, 'zone': zone, 'bind_addrs': bind,
            'internal_ports': [7720, 7735], 'app': app, 'advice': '',
            'seed_addrs': [f'{control}:8166' for control in self.controls],
            'initial_start': True, 'data_dir': str(self.folder / f'data-{name}'),
            'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
        }
        self.values[name] = (role, values)

    def start(self):
        for name in self.values:
            self.start_process(name)

    def start_process(self, name):
        role, values = self.values[name]
        template = (ROOT / 'deploy' / f'{role}.yaml').read_text()
        path = self.folder / f'{name}.yaml'
        path.write_text(_render(template, values))
        environment = {
            'PATH': os.environ.get('PATH', ''), 'HOME': str(self.folder),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'CUMINTACK_SETTINGS': str(path),
        }
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                ['python3', '-m', 'cumintack.platform'], cwd=ROOT,
                stdout=log, stderr=log, stdin=subprocess.DEVNULL, env=environment,
            )

    def find_leader(self):
        """Find the process that leads by the latest line in the logs."""
        latest = (0, None)
        for name in self.processes:
            for line in (self.folder / f'{name}.log').read_text().splitlines():
                if '"control: leading"' in line:
                    latest = max(latest, (json.loads(line)['term'], name))
        return latest[1]

    def kill_controls(self):
        for index in range(3):
            self.processes[f'core-{index}'].kill()
        for index in range(3):
            self.processes[f'core-{index}'].wait()
        self.record('all processes of the core killed')

    def start_controls(self):
        for index in range(3):
            self.values[f'core-{index}'][1]['initial_start'] = False
            self.start_process(f'core-{index}')
        self.record('all processes of the core started again')

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, address, method, path, body=None, timeout=3):
        """Send one request; the status is 0 if there is no answer."""
        headers = {'Host': HOST, 'X-Deadline-Ms': str(timeout * 1000)}
        encoded = None
        if body is not None:
            encoded = json.dumps(body)
            headers['Content-Type'] = 'application/json'
        try:
            connection = http.client.HTTPConnection(*address, timeout=timeout)
            connection.request(method, path, encoded, headers)
            response = connection.getresponse()
            text = response.read()
            connection.close()
        except (OSError, http.client.HTTPException) as error:
            return 0, {'error': str(error)}
        try:
            return response.status, json.loads(text or b'{}')
        except ValueError:
            return response.status, {}

    def operate(self, method, path, body=None, tries=40, first=0):
        """Send an order of the operator until it is acknowledged."""
        for attempt in range(tries):
            host = self.controls[(first + attempt) % 3]
            status, reply = self.call((host, 8166), method, path, body, 1)
            self.record(f'operator {method} {path} at {host}: {status}')
            if status == 200 or 400 <= status < 500:
                return status, reply
            time.sleep(0.2)
        return 0, {}

    def put_config(self, version, routes, services, first=0):
        body = {
            'version': version, 'routes': routes, 'services': services,
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        }
        return self.operate('POST', '/v1/config/replace', body, first=first)[0] == 200

    def ask(self, method, path, body=None, tries=10):
        """Send a request as a client does: again at another entry, if needed."""
        for attempt in range(tries):
            address = self.entries[attempt % len(self.entries)]
            status, reply = self.call(address, method, path, body)
            self.record(f'client {method} {path} at {address[0]}: {status} {json.dumps(reply)}')
            if status in (200, 404, 410):
                return status, reply
            time.sleep(0.3)
        return status, reply


def make_route(name, prefix, service='svc', **fields):
    return {
        'name': name, 'host': HOST, 'path_prefix': prefix, 'kind': 'unsafe',
        'timeout_ms': 3000, 'slo_ms': 1000, 'priority': 0, 'service': service,
        'attempts': 3, 'stretch': 2.0, **fields,
    }


def make_service(name, **fields):
    return {
        'name': name, 'health_path': '/health', 'max_conns': 64,
        'protocol': 'h1', 'tls': False, 'enforce_capacity': True,
        'standby': False, **fields,
    }


def make_job(steps, schedule=None):
    """Make the body of a job; the spec tells the stand-in what to do.

    Each step is a pair: its fields on the wire, and what only the stand-in
    knows of it.
    """
    spec = [{**wire, **own} for wire, own in steps]
    return {'spec': json.dumps(spec), 'steps': [wire for wire, _ in steps], **(schedule or {})}


def run_case(main):
    """Run the case; its exit code tells whether the rule was broken."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    path = pathlib.Path(sys.argv[0]).resolve().parent / 'record.txt'
    record = Record(path)
    record(f'case {path.parent.name}, disruption: {"yes" if trouble else "no"}')
    status = 2
    try:
        status = main(record, trouble)
    except Exception as error:  # noqa: BLE001
        record(f'the case could not run: {error!r}')
        print(f'the case could not run: {error!r}', file=sys.stderr)
    record(f'exit {status}')
    sys.stdout.flush()
    os._exit(status)
