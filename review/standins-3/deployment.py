"""A small deployment of the project's programs on loopback addresses.

The processes are started with the commands and the templates of the deploy
file, each with a loopback address of its own.
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

from adviser import Adviser
from cuts import Hub
from workers import Gangs, Record, Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = 'desk'
HOST = 'desk.example'
BOUNDS = {
    'stable_window_ms': 3000, 'ack_ms': 4000, 'grace_s': 6,
    'max_hold_ms': 10000, 'stop_timeout_ms': 900, 'gang_wait_ms': 3000,
    'cancel_ms': 3000, 'finish_s': 14, 'checkpoint_s': 0.5,
}
PLACEHOLDER = re.compile(r'\{\{([a-z_.0-9]+)(\|json)?\}\}')


def render(template, fields):
    """Fill in a template of the deploy file."""
    def fill(match):
        found = fields
        for part in match[1].split('.'):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
        if match[2]:
            return json.dumps(found)
        return '' if found is None else str(found)
    return PLACEHOLDER.sub(fill, template)


def find_network(ports):
    """Find a loopback network of which no address uses the ports."""
    for _ in range(200):
        prefix = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((f'{prefix}.1', port))
            return prefix
        except OSError:
            continue
    raise OSError('no free loopback network')


class Process:
    """One process of the project."""

    def __init__(self, deployment, name, role, ip, zone, **fields):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.fields = fields
        self.child = None
        self.is_first_start = True

    def start(self):
        deployment = self.deployment
        folder = deployment.folder
        description = deployment.deploy['roles'][self.role]
        fields = {
            'ip': self.ip,
            'node_name': self.name,
            'zone': self.zone,
            'zones': deployment.zones,
            'internal_ports': [deployment.link_port, deployment.link_port + 15],
            'seed_addrs': deployment.seeds,
            'initial_start': self.is_first_start,
            'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'advice': deployment.advice,
            'data_dir': str(folder / f'data-{self.name}'),
            **self.fields,
        }
        template = (ROOT / description['template']).read_text()
        settings = folder / f'{self.name}.yaml'
        text = render(template, fields)
        if deployment.hub is not None:
            # The replicas are reached through the proxies.
            text = text.replace(
                f'link_port: {deployment.link_port}', f'link_port: {deployment.proxy_port}'
            )
        settings.write_text(text)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['CUMINTACK_SETTINGS'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        words = description['run'].split()
        if words[0] == 'python3':
            words[0] = sys.executable
        with open(folder / f'{self.name}.log', 'ab') as log:
            self.child = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log,
                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
            )
        self.is_first_start = False
        deployment.record.write(f'{self.name}: process starts')

    def signal(self, number):
        self.deployment.record.write(f'{self.name}: {signal.Signals(number).name}')
        self.child.send_signal(number)

    def kill(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()

    def read_log(self):
        path = self.deployment.folder / f'{self.name}.log'
        return path.read_text(errors='replace') if path.exists() else ''


class Deployment:
    """Three control replicas, some entries, and guards with their workers."""

    def __init__(self, record_path, worker_count, entry_count=2, advice=None, **options):
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.link_port = random.randrange(21000, 27000, 20)
        self.control_port = self.link_port + 16
        self.front_port = self.link_port + 17
        self.ready_port = self.link_port + 18
        self.app_port = self.link_port + 19
        ports = [self.link_port, self.link_port + 2, self.control_port, self.front_port, self.ready_port, self.app_port, 9464]
        prefix = find_network(ports)
        self.zones = {'north': 'area', 'south': 'area', 'east': 'area'}
        zones = list(self.zones)
        self.advice = ''
        self.adviser = None
        if advice is not None:
            self.advice = f'{prefix}.9:{self.app_port}'
            self.adviser = Adviser(self.record, self.advice, *advice)
        self.gangs = Gangs()
        self.hub = None
        self.proxy_port = self.link_port + 2
        self.controls = []
        for number in range(3):
            ip = f'{prefix}.{11 + number}'
            self.controls.append(Process(
                self, f'control-{number}', 'control', ip, zones[number],
                bind_addrs={'control': f'{ip}:{self.control_port}'},
            ))
        self.seeds = [f'{process.ip}:{self.control_port}' for process in self.controls]
        self.entries = []
        for number in range(entry_count):
            ip = f'{prefix}.{21 + number}'
            self.entries.append(Process(
                self, f'entry-{number}', 'entry', ip, zones[number % 3],
                bind_addrs={
                    'front': f'{ip}:{self.front_port}',
                    'ready': f'{ip}:{self.ready_port}',
                },
            ))
        self.guards = []
        self.workers = []
        worker_options = options.get('worker_options', lambda number: {})
        for number in range(worker_count):
            ip = f'{prefix}.{101 + number}'
            control = f'{ip}:{self.control_port}'
            app = f'{ip}:{self.app_port}'
            zone = zones[number % 3]
            self.guards.append(Process(
                self, f'guard-{number}', 'guard', ip, zone,
                bind_addrs={'control': control}, app=app,
            ))
            self.workers.append(Worker(
                self.record, f'i-{number:08x}', app, control,
                service=SERVICE, zone=zone, gangs=self.gangs,
                **{'labels': ['a', f'r1-{number // 3}'], **worker_options(number)},
            ))

    def processes(self):
        return [*self.controls, *self.entries, *self.guards]

    def add_proxies(self, delay_s):
        """Put proxies before the replicas, which can cut a machine off."""
        self.hub = Hub(delay_s)
        for process in self.controls:
            self.hub.serve((process.ip, self.proxy_port), (process.ip, self.link_port))

    def start(self):
        for process in self.processes():
            process.start()
        for worker in self.workers:
            worker.begin_life()

    def close(self):
        for process in self.processes():
            process.kill()
        for worker in self.workers:
            worker.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, address, method, path, body=None, timeout_s=3.0, headers=None):
        """Send one request; the status is None without a whole answer."""
        host, _, port = address.rpartition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        encoded = None if body is None else json.dumps(body).encode()
        sent = {'Host': HOST, 'Content-Type': 'application/json', **(headers or {})}
        try:
            connection.request(method, path, encoded, sent)
            answer = connection.getresponse()
            content = answer.read()
            status = answer.status
        except (OSError, http.client.HTTPException) as error:
            status, content = None, type(error).__name__.encode()
        finally:
            connection.close()
        if method != 'GET' or status != 200:
            self.record.write(f'caller: {method} {path} at {address}: {status} {content[:80]!r}')
        try:
            return status, json.loads(content)
        except ValueError:
            return status, {}

    def ask(self, method, path, body=None, entry=0, **options):
        """Send a request of a caller to one entry."""
        address = self.entries[entry].fields['bind_addrs']['front']
        return self.call(
            address, method, path, body,
            headers={'X-Deadline-Ms': '3000'}, **options,
        )

    def put_config(self, config, within_s=30.0):
        """Send a config until it is acknowledged."""
        end_s = time.monotonic() + within_s
        number = 0
        while time.monotonic() < end_s:
            address = self.seeds[number % len(self.seeds)]
            number += 1
            status, _body = self.call(address, 'POST', '/v1/config/replace', config)
            if status == 200:
                return True
            time.sleep(0.3)
        return False

    def wait_ready(self, within_s=20.0):
        """Wait until all guards have been told to hold their workers."""
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            if all(worker.fence for worker in self.workers):
                return True
            time.sleep(0.1)
        return False

    def submit(self, path, body, within_s=10.0, entry=0):
        """Hand in a job as a caller does, until it is accepted."""
        end_s = time.monotonic() + within_s
        number = entry
        while time.monotonic() < end_s:
            status, _body = self.ask('POST', path, body, entry=number % len(self.entries))
            number += 1
            if status == 200:
                return True
            if status == 404:
                return False
            time.sleep(0.2)
        return False

    def get_state(self, path):
        for entry in range(len(self.entries)):
            status, body = self.ask('GET', path, entry=entry)
            if status == 200:
                return body['state']
            if status == 410:
                return 'gone'
        return 'unknown'


def make_route(prefix, **fields):
    return {
        'name': f'r-{prefix.strip("/")}', 'host': HOST, 'path_prefix': prefix,
        'kind': 'unsafe', 'timeout_ms': 3000, 'slo_ms': 1000, 'priority': 0,
        'service': SERVICE, 'attempts': 3, 'stretch': 2.0, **fields,
    }


def make_config(version, routes, **fields):
    service = {
        'name': SERVICE, 'health_path': '/health', 'max_conns': 64,
        'protocol': 'h1', 'tls': False, 'enforce_capacity': True,
        'standby': False, **fields,
    }
    return {
        'version': version, 'routes': routes, 'services': [service],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 262144,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        },
    }


def make_job(steps, spec, **fields):
    """A job; the text of its spec tells the stand-in of a worker what to do."""
    return {'spec': json.dumps(spec), 'steps': steps, **fields}


def new_id():
    return f'{random.getrandbits(64):016x}'


def run_case(folder, play, worker_count, **options):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 else."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    deployment = Deployment(pathlib.Path(folder) / 'record.txt', worker_count, **options)
    verdict = 2
    try:
        if 'prepare' in options:
            options['prepare'](deployment)
        deployment.start()
        verdict = play(deployment, trouble)
    except Exception as error:  # a case that could not be played
        deployment.record.write(f'case: {type(error).__name__}: {error}')
    finally:
        deployment.close()
    word = {0: 'the rule held', 1: 'the rule was broken', 2: 'the case could not run'}
    deployment.record.write(f'case: {word[verdict]}')
    print(word[verdict])
    sys.stdout.flush()
    os._exit(verdict)
