"""A worker crashes, announces itself again without answering, and is then gone."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

JOB = '5c0e7a21d94b36f8'
# One of eight is lost: a share of 0.125.
WORKERS = 8
DOWN_S = 1.0
MUTE_S = 3.0
WATCH_S = 35


def main(record, trouble):
    group = s.Group(record, WORKERS)
    workers = []
    try:
        group.start()
        for index, machine in enumerate(group.machines):
            capacity = {'cpu': 32000, 'mem_mb': 128000, 'gpu': 0}
            workers.append(s.Worker(record, f'w{index}', machine, capacity, ['a', f'r1-{index}']))
        time.sleep(3)
        if not group.put_config(1, [s.make_route('r', s.PREFIX)], [s.make_service('svc')]):
            return 2
        time.sleep(2.5)
        step = {'count': 1, 'cpu': 2000, 'mem_mb': 1024, 'est_runtime_ms': 8000}
        if group.ask('POST', s.PREFIX + JOB, s.make_job([(step, {'work_s': 8.0})]))[0] != 200:
            return 2
        time.sleep(3)
        worker = next((worker for worker in workers if worker.running), None)
        if worker is None:
            return 2
        if trouble:
            worker.is_mute = True
            worker.crash(DOWN_S)
            record(f'worker {worker.name} is back, announces itself and leaves its calls unanswered')
            time.sleep(MUTE_S)
            worker.is_closed = True
            worker.crash(0)
            record(f'worker {worker.name} is lost for good')
        last_run_at = time.monotonic()
        ends_at = last_run_at + WATCH_S
        reply = {}
        while time.monotonic() < ends_at and reply.get('state') != 'completed':
            reply = group.ask('GET', s.PREFIX + JOB)[1]
            if any(other.running for other in workers):
                last_run_at = time.monotonic()
            time.sleep(1)
        idle_s = time.monotonic() - last_run_at
        starts = sum(len(other.starts) for other in workers)
        record(f'state {reply}, starts {starts}, nothing has run for the last {idle_s:.1f} s, {WORKERS - 1} workers are idle')
        return 1 if reply.get('state') != 'completed' and idle_s > s.BOUNDS['finish_s'] + 3 else 0
    finally:
        for other in workers:
            other.close()
        group.close()


s.run_case(main)
