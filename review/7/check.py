"""Two workers crash, each just after it has started the same lasting task."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

import fleet as fleets  # noqa: E402

JOB = '5c0e7a21d94b36f8'
# From the start of the task to the crash of its worker.
CRASH_AFTER_S = 0.3
DOWN_S = 3.0
# Between the two crashes the first worker is back and the fleet is calm.
CALM_S = 4.0
WAIT_S = 20.0


def check(fleet, is_troubled):
    fleet.submit(
        JOB, {'lasts': True, 'cpu': 6400},
        [{'count': 1, 'cpu': 6400, 'mem_mb': 1024, 'long_running': True}],
    )
    for crash in (1, 2):
        row = fleet.wait_start(JOB, crash if is_troubled else 1, WAIT_S)
        if row is None:
            return f'run {crash} of the lasting task never started'
        number = int(row['worker'].split('-')[1])
        ip = f'{fleet.block}.{number}'
        fleet.record(f'run {row["run"]} started at {ip}')
        time.sleep(CRASH_AFTER_S)
        if is_troubled:
            fleet.crash_worker(ip)
            time.sleep(DOWN_S)
            fleet.start_worker(ip)
            fleet.record(f'the worker at {ip} is back, in a new life')
    time.sleep(CALM_S)
    last = fleet.wait_start(JOB, 3, WAIT_S) if is_troubled else None
    state = fleet.state(JOB)
    ends = [row['how'] for row in fleet.events() if row['what'] == 'end']
    fleet.record(f'state {state}; ends that workers listed: {ends}')
    if state in ('failed', 'cancelled', '410'):
        return f'LOST: the job is shown as {state}; no run of it has failed'
    if is_troubled and last is None:
        return 'LOST: the lasting task was not started again'
    return ''


if __name__ == '__main__':
    sys.exit(fleets.play(check, HERE / 'record.txt', 8))
