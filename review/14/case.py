"""A task that has ended is run again by the next life of its worker.

A start is left without an answer and carried out late; meanwhile the worker has
crashed and started again under its identifier.
"""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

from deployment import make_config, make_job, make_route, new_id, run_case

WORKERS = 8
WORK_S = 1.5
DOWN_S = 0.5
# The new life sends its first heartbeat a third of a second after its start,
# and carries out the late start before it.
FIRST_HEARTBEAT_S = 0.3
LATE_S = 0.005
NO_ANSWER_S = 1.5


class LateStart:
    """Leaves the first start of a job without an answer, and keeps it."""

    def __init__(self, trouble):
        self.is_due = trouble
        self.worker = None
        self.body = None
        self.at_s = None

    def __call__(self, worker, path, body):
        if not self.is_due or path != '/v1/run-start':
            return None
        self.is_due = False
        self.worker, self.body, self.at_s = worker, body, time.monotonic()
        worker.record.write(f'worker {worker.worker_id}: no answer to start of {body["task"]}/{body["run"]}')
        time.sleep(NO_ANSWER_S)
        return 0


LATE = LateStart(False)


def play(deployment, trouble):
    if not deployment.put_config(make_config(1, [make_route('/bills/')])):
        return 2
    if not deployment.wait_ready():
        return 2
    time.sleep(3)
    LATE.is_due = trouble
    path = f'/bills/{new_id()}'
    step = {'count': 1, 'cpu': 2000, 'mem_mb': 1000, 'est_runtime_ms': 1500}
    job = make_job([step], {'work_s': WORK_S, 'cpu': 2000, 'mem_mb': 1000})
    if not deployment.submit(path, job):
        return 2
    end_s = time.monotonic() + 20
    while deployment.get_state(path) != 'completed':
        if time.monotonic() > end_s:
            return 2
        time.sleep(0.1)
    deployment.record.write('caller: the job is completed')
    time.sleep(0.5)
    worker = LATE.worker or deployment.workers[0]
    if not worker.starts and trouble:
        deployment.record.write('case: the task ran on another worker')
    is_noted = not worker.ended
    deployment.record.write(f'case: the end is taken note of: {is_noted}')
    worker.crash()
    time.sleep(DOWN_S)
    worker.begin_life(first_heartbeat_s=FIRST_HEARTBEAT_S)
    if trouble:
        time.sleep(LATE_S)
        late_s = time.monotonic() - LATE.at_s
        deployment.record.write(f'worker {worker.worker_id}: carries out the start, {late_s:.1f} s late')
        worker.carry_out('/v1/run-start', LATE.body)
    time.sleep(4)
    starts = [run for each in deployment.workers for run in each.starts]
    deployment.record.write(f'case: the task was started {len(starts)} times')
    return 1 if is_noted and len(starts) > 1 else 0


def options(_number):
    return {'on_call': LATE}


run_case(FOLDER, play, WORKERS, worker_options=options)
