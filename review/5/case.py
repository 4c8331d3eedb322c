"""A worker leaves its calls unanswered for 1.5 s and is then lost for good."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

LASTING = '5c0e7a21d94b36f8'
MUTE_S = 1.5
WATCH_S = 30
# From 6 s after its last run on, 3 s without a run break the rule.
ALLOWED_S = 9


def main(record, trouble):
    group = s.Group(record, 4)
    workers = []
    last_run_at = [None]

    def submit_short_jobs():
        step = {'count': 8, 'cpu': 500, 'mem_mb': 64, 'est_runtime_ms': 300}
        for number in range(12):
            job = s.make_job([(step, {'work_s': 0.3})])
            group.ask('POST', f'{s.PREFIX}{number:016x}', job)
            time.sleep(0.1)

    try:
        group.start()
        for index, machine in enumerate(group.machines):
            capacity = {'cpu': 32000, 'mem_mb': 128000, 'gpu': 0}
            workers.append(s.Worker(record, f'w{index}', machine, capacity, ['a', f'r1-{index}']))
        time.sleep(3)
        if not group.put_config(1, [s.make_route('r', s.PREFIX)], [s.make_service('svc')]):
            return 2
        time.sleep(2.5)
        step = {'count': 1, 'cpu': 2000, 'mem_mb': 1024, 'long_running': True}
        if group.ask('POST', s.PREFIX + LASTING, s.make_job([(step, {})]))[0] != 200:
            return 2
        time.sleep(3)
        lasting = next((worker for worker in workers if worker.running), None)
        if lasting is None:
            return 2
        if trouble:
            lasting.is_mute = True
            record(f'worker {lasting.name} is mute')
        short = threading.Thread(target=submit_short_jobs)
        short.start()
        time.sleep(MUTE_S)
        if trouble:
            lasting.is_closed = True
            lasting.crash(0)
            last_run_at[0] = time.monotonic()
        short.join()
        longest_s = 0.0
        ends_at = time.monotonic() + WATCH_S
        while time.monotonic() < ends_at:
            if any(task.startswith(LASTING) for worker in workers for task in worker.running):
                last_run_at[0] = time.monotonic()
            longest_s = max(longest_s, time.monotonic() - (last_run_at[0] or time.monotonic()))
            time.sleep(0.05)
        record(f'the task that lasts did not run for {longest_s:.1f} s, with 3 idle workers')
        return 1 if longest_s > ALLOWED_S else 0
    finally:
        for worker in workers:
            worker.close()
        group.close()


s.run_case(main)
