"""A job runs after its cancelling was acknowledged with 410.

Its only submission was sent to an entry that stood still, and is handled when
the entry wakes again.
"""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

from deployment import make_config, make_job, make_route, new_id, run_case

WORKERS = 5
FREEZE_S = 4.0
PATIENCE_S = 0.3
CANCEL_S = 3.0
STOP_S = 0.9


def find_runs(deployment, job_id):
    return [
        run
        for worker in deployment.workers
        for run in worker.starts
        if run.task.startswith(job_id)
    ]


def is_at_work(deployment, job_id):
    return any(
        task.startswith(job_id)
        for worker in deployment.workers
        for task in list(worker.running)
    )


def cancel(deployment, path):
    """Cancel until it is acknowledged, and return when it was."""
    for _ in range(10):
        status, _body = deployment.ask('DELETE', path, entry=0)
        if status in {200, 410}:
            return time.monotonic()
        time.sleep(0.2)
    return None


def play(deployment, trouble):
    if not deployment.put_config(make_config(1, [make_route('/sheets/')])):
        return 2
    if not deployment.wait_ready():
        return 2
    time.sleep(3)
    job_id = new_id()
    path = f'/sheets/{job_id}'
    step = {'count': 1, 'cpu': 2000, 'mem_mb': 1000, 'est_runtime_ms': 1000, 'long_running': True}
    job = make_job([step], {'work_s': 0, 'cpu': 2000, 'mem_mb': 1000})
    # Three callers that stay beside the one that leaves.
    for _ in range(3):
        if not deployment.submit(f'/sheets/{new_id()}', job):
            return 2
    entry = deployment.entries[1]
    if trouble:
        entry.signal(signal.SIGSTOP)
    frozen_at_s = time.monotonic()
    deployment.ask('POST', path, job, entry=1, timeout_s=PATIENCE_S)
    acknowledged_at_s = cancel(deployment, path)
    if acknowledged_at_s is None:
        return 2
    time.sleep(max(0, frozen_at_s + FREEZE_S - time.monotonic()))
    if trouble:
        entry.signal(signal.SIGCONT)
    time.sleep(CANCEL_S + STOP_S + 4)
    state = deployment.get_state(path)
    deployment.record.write(f'caller: the job is {state}')
    latest_start_s = acknowledged_at_s + CANCEL_S
    late = [run for run in find_runs(deployment, job_id) if run.began_at_s > latest_start_s]
    for run in late:
        after_s = run.began_at_s - acknowledged_at_s
        deployment.record.write(
            f'case: {run.task}/{run.number} was started {after_s:.2f} s after the ack'
        )
    if is_at_work(deployment, job_id):
        deployment.record.write('case: it is at work')
        return 1
    return 1 if late else 0


run_case(FOLDER, play, WORKERS)
