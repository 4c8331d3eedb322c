"""The leader of the control group ends by itself when a worker is replaced.

Workers go dark for half a second, one at a time, and come back under another
id, while jobs are started. Each time a start may be without an answer yet when
the new life announces itself.
"""

import collections
import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

from deployment import make_config, make_job, make_route, new_id, run_case

WORKERS = 8
DARK_S = 0.5
WARM_UP_S = 20.0
PAUSE_S = 4.0
PLAY_S = 70.0
RESTART_S = 0.5
# The rule: processes end by themselves three times, on half of the core.
MAX_ENDS = 3
HALF_OF_CORE = 2


def send_jobs(deployment, is_over):
    # One task on each worker, so that each has starts all the while.
    step = {
        'count': WORKERS, 'cpu': 500, 'mem_mb': 900, 'est_runtime_ms': 600,
        'max_per_server': 1,
    }
    spec = {'work_s': 0.6, 'cpu': 500, 'mem_mb': 900}
    number = 0
    while not is_over.is_set():
        number += 1
        deployment.ask(
            'POST', f'/quotes/{new_id()}', make_job([step], spec), entry=number % 2
        )
        is_over.wait(0.2)


def restart_ended(deployment, ends):
    """Start again what has ended by itself, as the platform does."""
    for process in deployment.processes():
        status = process.child.poll()
        if status is None:
            continue
        ends[process.name] += 1
        deployment.record.write(f'{process.name}: ended by itself with code {status}')
        for line in process.read_log().splitlines()[-60:]:
            if line.startswith(('OverflowError', 'Traceback')):
                deployment.record.write(f'{process.name}: {line}')
        time.sleep(RESTART_S)
        process.start()


def is_broken(ends):
    core = [name for name, count in ends.items() if count >= MAX_ENDS and name.startswith('control')]
    return len(core) >= HALF_OF_CORE


def replace_worker(worker):
    worker.crash(is_dark=True)
    time.sleep(DARK_S)
    worker.begin_life(f'i-{random.getrandbits(32):08x}')


def play(deployment, trouble):
    if not deployment.put_config(make_config(1, [make_route('/quotes/')])):
        return 2
    if not deployment.wait_ready():
        return 2
    time.sleep(WARM_UP_S)
    is_over = threading.Event()
    threading.Thread(target=send_jobs, args=(deployment, is_over), daemon=True).start()
    ends = collections.Counter()
    number = 0
    end_s = time.monotonic() + PLAY_S
    while time.monotonic() < end_s and not is_broken(ends):
        time.sleep(PAUSE_S - DARK_S)
        if trouble:
            number += 1
            replace_worker(deployment.workers[number % WORKERS])
        time.sleep(0.6)
        restart_ended(deployment, ends)
    is_over.set()
    for name, count in sorted(ends.items()):
        deployment.record.write(f'case: {name} ended by itself {count} times')
    return 1 if is_broken(ends) else 0


run_case(FOLDER, play, WORKERS)
