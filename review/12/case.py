"""An entry that was restarted accepts a job that is then not known.

The answer to a submission to its former process is taken for the answer to the
submission of another job. Several entries are cut off and restarted one after
the other.
"""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

from deployment import make_config, make_job, make_route, new_id, run_case

WORKERS = 5
ENTRIES = 11
DELAY_S = 0.0034
# Lengths of the cuts; the rule is looked at after each.
CUTS_S = (5.3, 5.1, 5.0, 4.8, 4.5, 5.3, 5.1, 5.0, 4.8, 4.5)
KILLED_AFTER_S = 2.0
OPEN_S = 0.25
VISIBLE_S = 3.0
ANSWERS = {}


def make_small_job():
    step = {'count': 1, 'cpu': 2000, 'mem_mb': 1000, 'est_runtime_ms': 1000}
    return make_job([step], {'work_s': 1.0, 'cpu': 2000, 'mem_mb': 1000})


def hand_in(deployment, path, entry):
    status, _body = deployment.ask('POST', path, make_small_job(), entry=entry)
    ANSWERS[path] = status


def start_asking(deployment, path, entry):
    thread = threading.Thread(target=hand_in, args=(deployment, path, entry), daemon=True)
    thread.start()
    return thread


def prepare(deployment):
    deployment.add_proxies(DELAY_S)


def find_leader(deployment):
    """Find the leader by the number of jobs that it has logged as accepted."""
    return max(
        deployment.controls, key=lambda process: process.read_log().count('control: accepted')
    )


def play_cut(deployment, number, cut_s, trouble):
    """Cut an entry off, restart it, and return the path of a job it accepted."""
    first, second = f'/sheets/{new_id()}', f'/sheets/{new_id()}'
    entry = deployment.entries[number]
    if trouble:
        deployment.hub.cut(entry.ip)
        deployment.record.write(f'{entry.name}: cut off')
    cut_at_s = time.monotonic()
    start_asking(deployment, first, number)
    time.sleep(KILLED_AFTER_S)
    if trouble:
        entry.signal(signal.SIGKILL)
        entry.child.wait()
        entry.start()
    time.sleep(max(0, cut_at_s + cut_s - OPEN_S - time.monotonic()))
    asking = start_asking(deployment, second, number)
    time.sleep(OPEN_S)
    if trouble:
        deployment.record.write(f'{entry.name}: no longer cut off')
        deployment.hub.heal()
    asking.join()
    return second


def is_lost(deployment, path):
    """Tell whether an accepted job is answered 410 by any entry."""
    if ANSWERS[path] != 200:
        return False
    statuses = []
    for number in (0, ENTRIES - 1):
        status, body = deployment.ask('GET', path, entry=number)
        deployment.record.write(f'caller: GET {path} at entry-{number}: {status} {body}')
        statuses.append(status)
    return 410 in statuses


def play(deployment, trouble):
    if not deployment.put_config(make_config(1, [make_route('/sheets/')])):
        return 2
    if not deployment.wait_ready():
        return 2
    time.sleep(3)
    if not deployment.submit(f'/sheets/{new_id()}', make_small_job(), entry=ENTRIES - 1):
        return 2
    leader = find_leader(deployment)
    deployment.record.write(f'case: the leader is {leader.name}')
    # The operator's list may be in any order.
    address = f'{leader.ip}:{deployment.control_port}'
    deployment.seeds.sort(key=address.__eq__)
    for number, cut_s in enumerate(CUTS_S):
        path = play_cut(deployment, number, cut_s, trouble)
        time.sleep(VISIBLE_S + 0.6)
        if is_lost(deployment, path):
            deployment.record.write(f'case: {path} was accepted and is not known')
            return 1
    return 0


run_case(FOLDER, play, WORKERS, entry_count=ENTRIES, prepare=prepare)
