"""A lasting job whose only suitable worker goes down and up is given up."""

import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

from deployment import make_config, make_job, make_route, new_id, run_case

WORKERS = 10
FLAP_S = 0.47
FLAPS = 8
# The rule on tasks that last holds from 6 s after their last run, after 4 s and
# 3 s of calm.
CALM_S = 16.0


def flap(deployment, worker):
    """The worker is up and down for half a second each, then stays up."""
    for _ in range(FLAPS):
        worker.crash()
        time.sleep(FLAP_S)
        worker.begin_life(f'i-{random.getrandbits(32):08x}')
        time.sleep(FLAP_S)
    deployment.record.write('case: the worker stays up from now on')


def play(deployment, trouble):
    if not deployment.put_config(make_config(1, [make_route('/sheets/')])):
        return 2
    if not deployment.wait_ready():
        return 2
    time.sleep(3)
    path = f'/sheets/{new_id()}'
    step = {
        'count': 1, 'cpu': 2000, 'mem_mb': 1000, 'est_runtime_ms': 500,
        'required_label': 'big', 'long_running': True,
    }
    job = make_job([step], {'work_s': 0, 'cpu': 2000, 'mem_mb': 1000})
    if not deployment.submit(path, job):
        return 2
    if trouble:
        time.sleep(0.3)
        flap(deployment, deployment.workers[0])
    time.sleep(CALM_S)
    state = deployment.get_state(path)
    running = [run for worker in deployment.workers for run in worker.running]
    failed_ends = [row for worker in deployment.workers for row in worker.ended if row[3] == 'failed']
    deployment.record.write(f'caller: the job is {state}')
    deployment.record.write(f'case: running {running}, ends failed {failed_ends}')
    return 1 if state == 'failed' or not running else 0


def options(number):
    return {'labels': ['big' if number == 0 else 'a', f'r1-{number // 3}']}


run_case(FOLDER, play, WORKERS, worker_options=options)
