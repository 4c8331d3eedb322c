"""A ping of another writer names a service that no config names."""

import http.client
import json
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

import fleet as fleets  # noqa: E402

JOB = '5c0e7a21d94b36f8'
RUN_S = 12.0
BEFORE_S = 2.0
# By then no guard reckons with calls of an earlier process of its own.
SETTLE_S = 25.0
WATCH_S = 16.0


def send_odd_ping(fleet, ip):
    """Send one ping as another writer does."""
    body = json.dumps({
        'service': 'another-service', 'address': f'{ip}:{fleet.port + 7}',
        'zone': 'north-yard', 'version': 'v1', 'slots': 8, 'state': 'ready',
        'cold_remaining_ms': 0, 'born': int(time.time() * 1000),
        'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0},
        'labels': ['a', 'r1-1'], 'clock_ms': 1200, 'sequence': 1,
    })
    channel = http.client.HTTPConnection(ip, fleet.port + 4, timeout=1)
    channel.request(
        'POST', '/v1/instances/i-another/heartbeat', body,
        {'Content-Type': 'application/json'},
    )
    status = channel.getresponse().status
    channel.close()
    fleet.record(f'a ping of another writer is sent to {ip}: {status}')


def find_overlaps(events):
    """List the tasks of which two runs were at work at the same time."""
    open_runs = {}
    overlaps = []
    for row in sorted(events, key=lambda one: one['at']):
        if row['what'] == 'start':
            runs = open_runs.setdefault(row['task'], {})
            if runs:
                overlaps.append((row['task'], row['run'], dict(runs)))
            runs[row['run']] = row['worker']
        elif row['what'] == 'end':
            open_runs.get(row['task'], {}).pop(row['run'], None)
    return overlaps


def check(fleet, is_troubled):
    time.sleep(SETTLE_S)
    fleet.submit(
        JOB, {'run_s': RUN_S, 'cpu': 3500},
        [{'count': 6, 'cpu': 3500, 'mem_mb': 1024, 'est_runtime_ms': 12000}],
    )
    row = fleet.wait_start(JOB, 6, 15)
    if row is None:
        return 'the tasks never started'
    time.sleep(BEFORE_S)
    if is_troubled:
        number = int(row['worker'].split('-')[1])
        send_odd_ping(fleet, f'{fleet.block}.{number}')
    time.sleep(WATCH_S)
    fleet.record(f'state {fleet.state(JOB)}')
    overlaps = find_overlaps(fleet.events())
    if overlaps:
        return f'TWICE: two runs of a task at the same time: {overlaps}'
    return ''


if __name__ == '__main__':
    # With TROUBLE=0 the case is played without the disruption.
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(fleets.play(check, HERE / 'record.txt', 6, is_troubled))
