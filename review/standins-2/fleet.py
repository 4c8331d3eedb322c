"""A small deployment on loopback addresses: the project's programs with the
commands of the deploy file and settings from its templates, stand-in workers,
and a client that behaves like a requester and an operator of the pages.

Each machine has a loopback address of its own, and all have the same ports.
"""

import http.client
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
import time
import tomllib
import traceback

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
ZONES = ('north-yard', 'south-yard', 'east-yard')
HOST = 'desk.example'
PREFIX = '/queue/'
SERVICE = 'rounds-desk'
BOUNDS = {'grace_s': 6, 'max_hold_ms': 10000}
START_TIMEOUT_S = 25
# The port that the templates of the deploy file give to metrics.
METRICS_PORT = 9464


class CannotRun(Exception):
    """The case could not be played."""


def find_network():
    """Find a block of loopback addresses and ports on which nothing listens."""
    for _ in range(50):
        block = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        first = random.randrange(12000, 28000, 20)
        try:
            for last in (1, 2, 3, 11, 21, 22, 31):
                for port in (*range(first, first + 8), METRICS_PORT):
                    with socket.socket() as probe:
                        probe.bind((f'{block}.{last}', port))
        except OSError:
            continue
        return block, first
    raise CannotRun('no free ports')


def render(template, fields):
    """Fill in a template of the deploy file; it uses plain placeholders."""

    def replace(match):
        name, _, form = match[1].partition('|')
        value = fields
        for part in name.split('.'):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part, '')
        if form == 'json' or isinstance(value, (list, dict)):
            return json.dumps(value)
        return str(value)

    return re.sub(r'\{\{([^{}]+)\}\}', replace, template)


class Fleet:
    """All processes of one case."""

    def __init__(self, record_path, side_count, cpu=32000):
        self.record_file = open(record_path, 'w', buffering=1)
        self.started_at = time.time()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review2-'))
        self.block, self.port = find_network()
        self.cpu = cpu
        self.processes = {}
        self.worker_lives = {}
        self.cores = [f'{self.block}.{1 + i}' for i in range(3)]
        self.edges = [f'{self.block}.11']
        self.sides = [f'{self.block}.{21 + i}' for i in range(side_count)]
        self.events_path = self.folder / 'events'
        self.events_path.touch()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.roles = deploy['roles']

    def record(self, text):
        self.record_file.write(f'{time.time() - self.started_at:8.3f} s  {text}\n')

    def _settings(self, ip, role, is_first):
        seeds = [f'{core}:{self.port + 4}' for core in self.cores]
        fields = {
            'ip': ip, 'node_name': f'{role}-{ip.rpartition(".")[2]}',
            'zone': ZONES[int(ip.rpartition('.')[2]) % 3],
            'internal_ports': [self.port, self.port + 3],
            'seed_addrs': seeds, 'initial_start': is_first,
            'data_dir': str(self.folder / f'data-{ip}'),
            'bind_addrs': {
                'front': f'{ip}:{self.port + 5}',
                'ready': f'{ip}:{self.port + 6}',
                'control': f'{ip}:{self.port + 4}',
            },
            'app': f'{ip}:{self.port + 7}', 'advice': '',
            'bounds': BOUNDS, 'fault_tolerance': {'machines': 1},
        }
        template = (ROOT / self.roles[role]['template']).read_text()
        return render(template, fields)

    def start_process(self, ip, role, is_first=True):
        path = self.folder / f'{role}-{ip}.settings'
        path.write_text(self._settings(ip, role, is_first))
        command = self.roles[role]['run'].split()
        command[0] = sys.executable if command[0] == 'python3' else command[0]
        log = (self.folder / f'{role}-{ip}.log').open('ab')
        self.processes[ip] = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', '/'),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': f'{ROOT / "target/deps"}',
                'CUMINTACK_SETTINGS': str(path),
            },
        )

    def start_worker(self, ip):
        life = self.worker_lives.get(ip, 0) + 1
        self.worker_lives[ip] = life
        last = ip.rpartition('.')[2]
        command = [
            sys.executable, str(HERE / 'worker.py'), '--id', f'i-{last}-{life}',
            '--address', f'{ip}:{self.port + 7}',
            '--control', f'{ip}:{self.port + 4}',
            '--service', SERVICE, '--zone', ZONES[int(last) % 3],
            '--rack', f'r1-{int(last) % 3}', '--events', str(self.events_path),
            '--cpu', str(self.cpu),
        ]
        self.processes[f'worker {ip}'] = subprocess.Popen(
            command, stdin=subprocess.DEVNULL
        )

    def crash_worker(self, ip):
        self.kill(f'worker {ip}')
        last = ip.rpartition('.')[2]
        row = {'at': time.time(), 'what': 'down'}
        row['worker'] = f'i-{last}-{self.worker_lives[ip]}'
        with self.events_path.open('a') as events:
            events.write(json.dumps(row) + '\n')
        self.record(f'the worker at {ip} crashes')

    def kill(self, name, number=signal.SIGKILL):
        process = self.processes[name]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def start(self):
        if not (ROOT / 'target/deps').is_dir():
            raise CannotRun('run the build of the deploy file first')
        for ip in self.cores:
            self.start_process(ip, 'control')
        for ip in self.edges:
            self.start_process(ip, 'entry')
        for ip in self.sides:
            self.start_process(ip, 'guard')
            self.start_worker(ip)
        self.replace_config(1)
        self.record('all processes started, config acknowledged')

    def replace_config(self, version, attempts=3, **route):
        body = {
            'version': version,
            'routes': [{
                'name': 'r-1', 'host': HOST, 'path_prefix': PREFIX,
                'kind': 'unsafe', 'timeout_ms': 3000, 'slo_ms': 2500,
                'priority': 0, 'service': SERVICE, 'attempts': attempts,
                'stretch': 2.0, **route,
            }],
            'services': [{
                'name': SERVICE, 'health_path': '/health', 'max_conns': 64,
                'protocol': 'h1', 'tls': False, 'enforce_capacity': True,
                'standby': False,
            }],
            'limits': {
                'max_header_bytes': 16384, 'max_body_bytes': 262144,
                'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
            },
        }
        deadline = time.monotonic() + START_TIMEOUT_S
        turn = 0
        while time.monotonic() < deadline:
            target = f'{self.cores[turn % 3]}:{self.port + 4}'
            turn += 1
            status, _body = self.send('POST', target, '/v1/config/replace', body)
            if status == 200:
                return
            time.sleep(0.5)
        raise CannotRun('the config was not acknowledged')

    def send(self, method, target, path, body=None, timeout_s=3.0):
        """Send one request; the status is None without a whole answer."""
        host, _, port = target.rpartition(':')
        channel = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        headers = {'Host': HOST, 'X-Deadline-Ms': '3000'}
        data = None
        if body is not None:
            data = json.dumps(body)
            headers['Content-Type'] = 'application/json'
        try:
            channel.request(method, path, data, headers)
            response = channel.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return None, b''
        finally:
            channel.close()

    def call(self, method, job, body=None, tries=20):
        """Send a requester's call until it has a clear answer."""
        for _ in range(tries):
            edge = f'{random.choice(self.edges)}:{self.port + 5}'
            status, answer = self.send(method, edge, PREFIX + job, body)
            self.record(f'{method} {job}: {status} {answer.decode()[:80]}')
            if status is not None and status not in (502, 503, 504):
                return status, answer
            time.sleep(0.3)
        return status, answer

    def submit(self, job, spec, steps):
        status, _answer = self.call(
            'POST', job, {'spec': json.dumps(spec), 'steps': steps}
        )
        if status != 200:
            raise CannotRun(f'the job was answered {status}')

    def state(self, job):
        status, answer = self.call('GET', job)
        return json.loads(answer)['state'] if status == 200 else str(status)

    def events(self):
        rows = []
        for line in self.events_path.read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return rows

    def starts(self, prefix):
        return [
            row for row in self.events()
            if row['what'] == 'start' and row['task'].startswith(prefix)
        ]

    def wait_start(self, prefix, count, timeout_s):
        """Wait until so many runs have been started; return the last."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            rows = self.starts(prefix)
            if len(rows) >= count:
                return rows[count - 1]
            time.sleep(0.01)
        return None

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        rows = self.events()
        self.record('what the workers ran:')
        for row in sorted(rows, key=lambda one: one['at']):
            at = row.pop('at') - self.started_at
            self.record_file.write(f'    {at:8.3f} s  {json.dumps(row)}\n')
        self.record_file.close()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(check, record_path, side_count, is_troubled):
    """Play a case: 0 if the rule held, 1 if not, 2 if it couldn't run."""
    # Processes are ended also if the script itself is.
    signal.signal(signal.SIGTERM, lambda *_args: sys.exit(2))
    fleet = None
    code = 2
    try:
        fleet = Fleet(record_path, side_count)
        fleet.start()
        problem = check(fleet, is_troubled)
        fleet.record(f'broken: {problem}' if problem else 'the rule held')
        code = 1 if problem else 0
    except CannotRun as error:
        print(f'could not run: {error}', file=sys.stderr)
    except Exception:  # An error of the script says nothing about the rule.
        traceback.print_exc()
    finally:
        if fleet is not None:
            fleet.close()
    return code
