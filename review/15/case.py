"""The members of a gang are started again with different checkpoints."""

import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

from deployment import make_config, make_job, make_route, new_id, run_case

WORKERS = 8
MEMBERS = 4
DOWN_S = 3.0


def play(deployment, trouble):
    if not deployment.put_config(make_config(1, [make_route('/sheets/')])):
        return 2
    if not deployment.wait_ready():
        return 2
    time.sleep(3)
    job_id = new_id()
    path = f'/sheets/{job_id}'
    step = {
        'count': MEMBERS, 'cpu': 2000, 'mem_mb': 1000, 'est_runtime_ms': 6000,
        'gang': True, 'checkpointable': True, 'max_per_server': 1,
    }
    spec = {'work_s': 6.0, 'cpu': 2000, 'mem_mb': 1000, 'gang': MEMBERS, 'saves': True}
    if not deployment.submit(path, make_job([step], spec)):
        return 2
    time.sleep(2.3)
    if trouble:
        victim = next(worker for worker in deployment.workers if worker.running)
        victim.crash()
        time.sleep(DOWN_S)
        victim.begin_life(f'i-{random.getrandbits(32):08x}')
    end_s = time.monotonic() + 30
    while time.monotonic() < end_s and deployment.get_state(path) != 'completed':
        time.sleep(0.5)
    deployment.record.write(f'caller: the job is {deployment.get_state(path)}')
    checkpoints = {}
    for worker in deployment.workers:
        for run in worker.starts:
            first = checkpoints.setdefault(run.number, set())
            first.add(run.checkpoint0)
    broken = False
    for number, values in sorted(checkpoints.items()):
        deployment.record.write(f'case: run {number} was started with {sorted(values)}')
        broken = broken or len(values) > 1
    return 1 if broken else 0


run_case(FOLDER, play, WORKERS)
