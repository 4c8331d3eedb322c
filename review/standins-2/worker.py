"""Stand-in for a worker of the platform, as PROTOCOL.md describes it.

It runs as a process of its own, so that a test crashes it with SIGKILL. What
it is told and what it runs goes to a file of JSON lines.

The text ``spec`` of a job is JSON that says how its tasks behave:
``{"run_s": 1.0}`` ends after so much work, ``{"lasts": true}`` goes on until
it is stopped, ``{"gang": 3}`` works only while the three tasks of one run are
there. The members of a gang learn of each other from the file of JSON lines.
"""

import argparse
import http.client
import http.server
import json
import threading
import time
import zlib

TICK_S = 0.01
STARTUP_S = 0.2
CHECKPOINT_S = 0.5
MAX_LISTED = 500
GANG_WAIT_S = 3.0
GANG_LOOK_S = 0.05


class Worker:
    """One life of a worker."""

    def __init__(self, options):
        self.options = options
        self.lock = threading.Condition()
        self.born_ms = int(time.time() * 1000)
        self.born_s = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.end_count = 0
        self.sequence = 0
        self.events = open(options.events, 'a', buffering=1)
        self.log('up')

    def clock_ms(self):
        return int((time.monotonic() - self.born_s) * 1000) + 1000

    def log(self, what, **fields):
        row = {'at': time.time(), 'worker': self.options.id, 'what': what}
        self.events.write(json.dumps({**row, **fields}) + '\n')

    def advance(self):
        while True:
            time.sleep(TICK_S)
            with self.lock:
                is_lapsed = self.clock_ms() > self.lease_ms
                for task, run in list(self.running.items()):
                    if run['is_present']:
                        run['done_s'] += TICK_S * run['percent'] / 100
                        self.save(task, run)
                    if is_lapsed:
                        self.end(task, 'lapsed')
                    elif not run['lasts'] and run['done_s'] >= run['run_s']:
                        self.end(task, 'done')

    def save(self, task, run):
        """Write a checkpoint; each member of a gang has one of its own."""
        number = int(run['done_s'] / CHECKPOINT_S)
        if number > run['save_count'] and run['saves']:
            run['save_count'] = number
            run['saved'] = f'{number:08x}{zlib.crc32(task.encode()):08x}'

    def watch_gangs(self):
        """Follow which members of each gang are there, on all workers."""
        present = {}
        rest = ''
        with open(self.options.events) as lines:
            while True:
                time.sleep(GANG_LOOK_S)
                # The last line may still be being written.
                *whole, rest = (rest + lines.read()).split('\n')
                for line in whole:
                    self.follow(present, json.loads(line))
                with self.lock:
                    self.judge_gangs(present)

    def follow(self, present, row):
        """Members on a worker that has started again are gone."""
        if row['what'] in ('up', 'down'):
            machine = row['worker'].rpartition('-')[0] + '-'
            for members in present.values():
                for task, (worker, _how) in list(members.items()):
                    if worker.startswith(machine):
                        members[task] = (worker, 'gone')
        elif row['what'] in ('start', 'end'):
            gang = (row['task'].rpartition('.')[0], row['run'])
            state = row.get('how', '')
            members = present.setdefault(gang, {})
            members[row['task']] = (row['worker'], state)

    def judge_gangs(self, present):
        for task, run in list(self.running.items()):
            if not run['gang']:
                continue
            gang = present.get((task.rpartition('.')[0], run['run']), {})
            states = [state for _worker, state in gang.values()]
            if any(state not in ('', 'done') for state in states):
                self.end(task, 'broken')
            elif 'done' in states:
                self.end(task, 'done')
            elif len(states) == run['gang']:
                run['is_present'] = True
            elif time.monotonic() - run['at_s'] > GANG_WAIT_S:
                self.end(task, 'alone')

    def end(self, task, how):
        run = self.running.pop(task)
        self.end_count += 1
        row = [self.end_count, task, run['run'], how, run['saved']]
        self.ended.append(row)
        self.highest[task] = max(self.highest.get(task, 0), run['run'])
        self.log('end', task=task, run=run['run'], how=how)
        self.lock.notify_all()

    def prolong(self, deadline_ms):
        if deadline_ms:
            latest = self.clock_ms() + self.options.max_hold_ms
            self.lease_ms = max(self.lease_ms, min(deadline_ms, latest))

    def room(self, need):
        cpu = sum(run['cpu'] for run in self.running.values())
        return cpu + need <= self.options.cpu

    def call(self, path, expected, body):
        with self.lock:
            if expected and expected != self.options.id:
                return 421, {'clock_ms': self.clock_ms()}
            token = body.get('fencing_token', 0)
            if token < self.token:
                return 409, {'clock_ms': self.clock_ms(), 'reason': 'fence'}
            self.token = token
            match path:
                case '/v1/run-start':
                    return self.start(body)
                case '/v1/run-stop':
                    self.stop(body)
                case '/v1/pace':
                    self.pace(body)
                case '/v1/hold':
                    return self.hold(body)
                case _:
                    return 404, {}
            return 200, {'clock_ms': self.clock_ms()}

    def start(self, body):
        task, number = body['task'], body['run']
        clock = {'clock_ms': self.clock_ms()}
        held = self.running.get(task)
        if held and held['run'] == number:
            return 200, clock
        if body['deadline_ms'] <= self.clock_ms():
            return 409, {**clock, 'reason': 'late'}
        self.prolong(body['deadline_ms'])
        if held or number <= self.highest.get(task, 0):
            return 409, {**clock, 'reason': 'old'}
        spec = json.loads(body['spec'] or '{}')
        cpu = spec.get('cpu', 0)
        if not self.room(cpu):
            return 409, {**clock, 'reason': 'room'}
        self.running[task] = {
            'run': number, 'done_s': 0.0, 'cpu': cpu, 'percent': 100,
            'run_s': spec.get('run_s', 1.0), 'lasts': spec.get('lasts', False),
            'saved': body.get('checkpoint', ''), 'at_s': time.monotonic(),
            'gang': spec.get('gang', 0), 'saves': spec.get('saves', False),
            'is_present': not spec.get('gang', 0), 'save_count': 0,
        }
        saved = body.get('checkpoint', '')
        if saved:
            done = int(saved[:8], 16)
            self.running[task]['save_count'] = done
            self.running[task]['done_s'] = done * CHECKPOINT_S
        self.log('start', task=task, run=number, checkpoint=saved)
        return 200, clock

    def stop(self, body):
        task, number = body['task'], body['run']
        held = self.running.get(task)
        if held and held['run'] <= number:
            self.end(task, 'stopped')
        self.highest[task] = max(self.highest.get(task, 0), number)

    def pace(self, body):
        held = self.running.get(body['task'])
        if held and held['run'] == body['run']:
            held['percent'] = body['percent']

    def hold(self, body):
        self.prolong(body.get('deadline_ms', 0))
        acked = body.get('ack_seq', 0)
        for row in self.ended:
            if row[0] <= acked:
                self.log('noted', task=row[1], run=row[2], how=row[3])
        self.ended = [row for row in self.ended if row[0] > acked]
        until_s = time.monotonic() + min(body.get('wait_ms', 0), 2000) / 1000
        while not self.ended and time.monotonic() < until_s:
            self.lock.wait(until_s - time.monotonic())
        running = []
        for task, run in self.running.items():
            if run['lasts']:
                age_s = time.monotonic() - run['at_s']
                percent = 100 if age_s > STARTUP_S else 50
            else:
                percent = min(99, int(run['done_s'] / run['run_s'] * 100))
            row = [task, run['run'], run['saved'], percent, run['cpu']]
            running.append(row)
        return 200, {
            'clock_ms': self.clock_ms(), 'born': self.born_ms,
            'running': running, 'finished': self.ended[:MAX_LISTED],
        }

    def ping(self, state):
        options = self.options
        self.sequence += 1
        body = json.dumps({
            'service': options.service, 'address': options.address,
            'zone': options.zone, 'version': 'v1', 'slots': 8, 'state': state,
            'cold_remaining_ms': 0, 'born': self.born_ms,
            'capacity': {'cpu': options.cpu, 'mem_mb': 128000, 'gpu': 0},
            'labels': ['a', options.rack], 'clock_ms': self.clock_ms(),
            'sequence': self.sequence,
        })
        host, _, port = options.control.rpartition(':')
        channel = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            path = f'/v1/instances/{options.id}/heartbeat'
            header = {'Content-Type': 'application/json'}
            channel.request('POST', path, body, header)
            return channel.getresponse().status // 100 == 2
        except (OSError, http.client.HTTPException):
            return False
        finally:
            channel.close()

    def ping_all(self):
        while True:
            is_acked = self.ping('ready')
            time.sleep(self.options.heartbeat_ms / 1000 if is_acked else 0.3)


def create_handler(worker):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def do_POST(self):
            size = int(self.headers.get('Content-Length', 0))
            body = json.loads(self.rfile.read(size) or b'{}')
            expected = self.headers.get('X-Expect-Instance', '')
            status, answer = worker.call(self.path, expected, body)
            self.reply(status, json.dumps(answer).encode())

        def do_GET(self):
            self.reply(200, b'{}')

        def reply(self, status, body):
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(body)))
            try:
                self.end_headers()
                self.wfile.write(body)
            except OSError:
                # The caller has given up, as on a worker that hung.
                self.close_connection = True

        def log_message(self, *_args):
            pass

    return Handler


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64


def main():
    parser = argparse.ArgumentParser()
    for name in ('id', 'address', 'control', 'service', 'zone', 'rack',
                 'events'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--cpu', type=int, default=32000)
    parser.add_argument('--heartbeat_ms', type=int, default=1500)
    parser.add_argument('--max_hold_ms', type=int, default=10000)
    options = parser.parse_args()
    worker = Worker(options)
    host, _, port = options.address.rpartition(':')
    server = Server((host, int(port)), create_handler(worker))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    for loop in (worker.advance, worker.watch_gangs):
        threading.Thread(target=loop, daemon=True).start()
    worker.ping_all()


if __name__ == '__main__':
    main()
