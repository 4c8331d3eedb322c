"""The only worker with a label crashes just after a task has started there."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

JOB = '5c0e7a21d94b36f8'
# One of eight crashes: a share of 0.125.
WORKERS = 8
WATCH_S = 16
CRASH_AFTER_S = 0.25
DOWN_S = 1.5


def main(record, trouble):
    group = s.Group(record, WORKERS)
    workers = []
    crashed = []

    def on_start(run):
        if trouble and not crashed:
            crashed.append(run)
            threading.Timer(CRASH_AFTER_S, workers[0].crash, (DOWN_S,)).start()

    try:
        group.start()
        for index, machine in enumerate(group.machines):
            labels = ['b' if index == 0 else 'a', f'r1-{index + 1}']
            capacity = {'cpu': 32000, 'mem_mb': 128000, 'gpu': 0}
            workers.append(s.Worker(record, f'w{index}', machine, capacity, labels, on_start=on_start))
        time.sleep(3)
        if not group.put_config(1, [s.make_route('r', s.PREFIX)], [s.make_service('svc')]):
            return 2
        time.sleep(2.5)
        step = {'count': 1, 'cpu': 2000, 'mem_mb': 1024, 'est_runtime_ms': 1000, 'required_label': 'b'}
        job = s.make_job([(step, {'work_s': 1.0})])
        if group.ask('POST', s.PREFIX + JOB, job)[0] != 200:
            return 2
        ends_at = time.monotonic() + s.BOUNDS['finish_s'] + WATCH_S
        idle_since = time.monotonic()
        while time.monotonic() < ends_at:
            status, reply = group.ask('GET', s.PREFIX + JOB)
            if reply.get('state') == 'completed':
                record('the job is completed')
                return 0
            if any(worker.running for worker in workers):
                idle_since = time.monotonic()
            time.sleep(1)
        longest_idle_s = time.monotonic() - idle_since
        starts = sum(len(worker.starts) for worker in workers)
        record(f'state {reply}, starts {starts}, nothing has run for the last {longest_idle_s:.1f} s')
        return 1 if longest_idle_s > 3 and reply.get('state') != 'failed' else 0
    finally:
        for worker in workers:
            worker.close()
        group.close()


s.run_case(main)
