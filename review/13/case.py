"""Jobs that no worker can hold keep the adviser from all jobs behind them.

Quotes come twice a second and claims now and then. In the play with trouble
three of the forty quotes ask for more than any worker has.
"""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

from deployment import make_config, make_job, make_route, new_id, run_case

WORKERS = 8
QUOTES = 40
PAUSE_S = 0.5
# Numbers of the quotes that can never be done, and of those after which a
# claim is handed in.
HOPELESS = (1, 2, 3)
CLAIMS = (6, 12, 18, 24)
DECIDE_MS, EACH_WORKER_MS, VALID_MS = 200, 20, 1000
ADVICE = {'decide_ms': DECIDE_MS, 'advice_period_ms': EACH_WORKER_MS, 'valid_ms': VALID_MS}
FINISH_S = 14.0
IDLE_S = 3.0


def make_advised_job(cpu):
    step = {'count': 2, 'cpu': cpu, 'mem_mb': 1000, 'est_runtime_ms': 1000}
    spec = {'work_s': 1.0, 'cpu': cpu, 'mem_mb': 1000, 'advised': True}
    return make_job([step], spec)


def hand_in_jobs(deployment, trouble):
    """Return the paths of the accepted jobs that can be done."""
    sound = []
    for number in range(QUOTES):
        is_hopeless = trouble and number in HOPELESS
        path = f'/quotes/{new_id()}'
        cpu = 200000 if is_hopeless else 1000
        if deployment.submit(path, make_advised_job(cpu)) and not is_hopeless:
            sound.append(path)
        if number in CLAIMS:
            path = f'/claims/{new_id()}'
            if deployment.submit(path, make_advised_job(3000)):
                sound.append(path)
        time.sleep(PAUSE_S)
    return sound


def count_starts(deployment, path):
    job_id = path.rpartition('/')[2]
    return sum(
        run.task.startswith(job_id)
        for worker in deployment.workers
        for run in worker.starts
    )


def play(deployment, trouble):
    routes = [
        make_route('/quotes/', priority=0, slo_ms=300, advice=ADVICE),
        make_route('/claims/', priority=2, advice=ADVICE),
    ]
    if not deployment.put_config(make_config(1, routes)):
        return 2
    if not deployment.wait_ready():
        return 2
    time.sleep(3)
    sound = hand_in_jobs(deployment, trouble)
    time.sleep(FINISH_S)
    before = {path: count_starts(deployment, path) for path in sound}
    used = [worker.used()['cpu'] for worker in deployment.workers]
    time.sleep(IDLE_S)
    waiting = []
    for path in sound:
        state = deployment.get_state(path)
        starts = count_starts(deployment, path)
        if state != 'completed':
            deployment.record.write(f'case: {path} is {state}, tasks started: {starts}')
        if state == 'queued' and not starts and not before[path]:
            waiting.append(path)
    deployment.record.write(f'case: {len(waiting)} of {len(sound)} jobs had nothing running')
    deployment.record.write(f'case: milli-cores in use {IDLE_S} s before, by worker: {used}')
    return 1 if waiting else 0


run_case(FOLDER, play, WORKERS, advice=(DECIDE_MS, EACH_WORKER_MS, VALID_MS))
