"""A caller is given the state of another job by an entry that was restarted."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

from deployment import make_config, make_job, make_route, new_id, run_case

WORKERS = 5
DELAY_S = 0.0034
CUT_S = 5.0
ANSWERS = []


def ask_state(deployment, path):
    status, body = deployment.ask('GET', path, entry=0, timeout_s=3.0)
    deployment.record.write(f'caller: GET {path} at entry-0: {status} {body}')
    ANSWERS.append((path, status, body.get('state')))


def prepare(deployment):
    deployment.add_proxies(deployment.entries[0].ip, DELAY_S)


def play(deployment, trouble):
    if not deployment.put_config(make_config(1, [make_route('/sheets/')])):
        return 2
    if not deployment.wait_ready():
        return 2
    time.sleep(3)
    step = {'count': 1, 'cpu': 2000, 'mem_mb': 1000, 'est_runtime_ms': 1000}
    short, long = f'/sheets/{new_id()}', f'/sheets/{new_id()}'
    sizes = {'cpu': 2000, 'mem_mb': 1000}
    for path, work_s in ((short, 0.3), (long, 60.0)):
        job = make_job([step], {'work_s': work_s, **sizes})
        if not deployment.submit(path, job, entry=1):
            return 2
    time.sleep(2)
    entry = deployment.entries[0]
    if trouble:
        deployment.hub.cut()
        deployment.record.write('entry-0: cut off')
    cut_at_s = time.monotonic()
    threading.Thread(target=ask_state, args=(deployment, short)).start()
    time.sleep(2)
    if trouble:
        entry.signal(signal.SIGKILL)
        entry.child.wait()
        entry.start()
    time.sleep(max(0, cut_at_s + CUT_S - 0.5 - time.monotonic()))
    asking = threading.Thread(target=ask_state, args=(deployment, long))
    asking.start()
    time.sleep(0.5)
    if trouble:
        deployment.record.write('entry-0: no longer cut off')
        deployment.hub.heal()
    asking.join()
    time.sleep(1)
    is_at_work = any(
        task.startswith(long.rpartition('/')[2])
        for worker in deployment.workers
        for task in worker.running
    )
    foreign = [answer for answer in ANSWERS if answer[0] == long and answer[2] == 'completed']
    deployment.record.write(f'case: at work: {is_at_work}, shown as completed: {foreign}')
    return 1 if foreign and is_at_work else 0


run_case(FOLDER, play, WORKERS, prepare=prepare)
