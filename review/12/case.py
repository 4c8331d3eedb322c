"""A job whose only suitable worker goes down and up is given up as failed."""

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
    step = {'count': 1, 'cpu': 2000, 'mem_mb': 1000, 'est_runtime_ms': 3000, 'required_label': 'big'}
    job = make_job([step], {'work_s': 3.0, 'cpu': 2000, 'mem_mb': 1000})
    if not deployment.submit(path, job):
        return 2
    if trouble:
        time.sleep(0.3)
        flap(deployment, deployment.workers[0])
    end_s = time.monotonic() + 40
    while time.monotonic() < end_s:
        state = deployment.get_state(path)
        deployment.record.write(f'caller: the job is {state}')
        if state == 'failed':
            return 1
        if state == 'completed':
            return 0
        time.sleep(1)
    return 1


def options(number):
    return {'labels': ['big' if number == 0 else 'a', f'r1-{number // 3}']}


run_case(FOLDER, play, WORKERS, worker_options=options)
