"""A worker lists more than 500 ends after the core was down for some seconds."""

import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

JOB = '5c0e7a21d94b36f8'
TASKS = 2100
WORKERS = 3
# The tasks end one after the other within this time.
ENDS_S = 2.5
DOWN_S = 3.5


def main(record, trouble):
    group = s.Group(record, WORKERS)
    workers = []
    rng = random.Random(1)
    first_end_at = [None]

    def set_end(run):
        if first_end_at[0] is not None and run['work_s'] is None:
            ends_at = first_end_at[0] + rng.uniform(0, ENDS_S)
            run['work_s'] = max(1.0, ends_at - run['began'])

    try:
        group.start()
        for index, machine in enumerate(group.machines):
            capacity = {'cpu': 32000, 'mem_mb': 128000, 'gpu': 0}
            labels = ['a', f'r1-{index + 1}']
            workers.append(s.Worker(record, f'w{index}', machine, capacity, labels, on_start=set_end))
        time.sleep(3)
        if not group.put_config(1, [s.make_route('r', s.PREFIX)], [s.make_service('svc')]):
            return 2
        time.sleep(2.5)
        step = {'count': TASKS, 'cpu': 40, 'mem_mb': 32, 'est_runtime_ms': 6000}
        if group.ask('POST', s.PREFIX + JOB, s.make_job([(step, {})]))[0] != 200:
            return 2
        started_by = time.monotonic() + 30
        while sum(len(worker.starts) for worker in workers) < TASKS * 0.98 and time.monotonic() < started_by:
            time.sleep(0.05)
        record(f'started {[len(worker.starts) for worker in workers]}')
        first_end_at[0] = time.monotonic() + 0.8
        for worker in workers:
            with worker.lock:
                for run in worker.running.values():
                    set_end(run)
        time.sleep(0.5)
        if trouble:
            group.kill_controls()
            time.sleep(DOWN_S)
            group.start_controls()
        ends_at = time.monotonic() + 50
        state = ''
        while time.monotonic() < ends_at and state != 'completed':
            state = group.ask('GET', s.PREFIX + JOB)[1].get('state', '')
            time.sleep(1)
        time.sleep(3)
        return judge(record, workers, state)
    finally:
        for worker in workers:
            worker.close()
        group.close()


def judge(record, workers, state):
    """Count the starts after an end `done` that was taken note of."""
    done_at = {}
    noted = set()
    for worker in workers:
        noted |= worker.noted
        for run in worker.starts:
            if run.get('how') == 'done':
                done_at.setdefault(run['task'], (run['gone'], run['run']))
    twice = 0
    for worker in workers:
        for run in worker.starts:
            first = done_at.get(run['task'])
            if first and run['began'] > first[0] and (run['task'], first[1]) in noted:
                twice += 1
                if twice <= 20:
                    record(f'TWICE {run["task"]}: run {first[1]} ended done, run {run["run"]} started later')
    lapsed = sum(run.get('how') == 'lapsed' for worker in workers for run in worker.starts)
    most = max(worker.most_listed for worker in workers)
    record(f'state {state}, tasks started again after a noted end done: {twice}, lapsed runs {lapsed}, most ends held by a worker {most}')
    return 1 if twice else 0


s.run_case(main)
