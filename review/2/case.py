"""The leader freezes for half a second while a route is added."""

import pathlib
import random
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

FREEZE_S = 0.5
ROUNDS = 6
CLIENTS = 24


def main(record, trouble):
    group = s.Group(record, 2, entry_count=2)
    workers = []
    rng = random.Random(7)
    attempts = {}

    def submit(job_id, prefix, address, delay_s):
        time.sleep(delay_s)
        step = {'count': 1, 'cpu': 100, 'mem_mb': 64, 'est_runtime_ms': 100}
        body = s.make_job([(step, {'work_s': 0.1})])
        status, reply = group.call(address, 'POST', prefix + job_id, body)
        record(f'client POST {prefix}{job_id} at {address[0]}: {status} {reply}')
        attempts[job_id] = status

    try:
        group.start()
        for index, machine in enumerate(group.machines):
            capacity = {'cpu': 32000, 'mem_mb': 128000, 'gpu': 0}
            workers.append(s.Worker(record, f'w{index}', machine, capacity, ['a', f'r1-{index}']))
        time.sleep(3)
        routes = [s.make_route('r', s.PREFIX)]
        if not group.put_config(1, routes, [s.make_service('svc')]):
            return 2
        time.sleep(2.5)
        for version in range(2, 2 + ROUNDS):
            prefix = f'/added{version}/'
            leader = group.find_leader()
            if leader is None:
                return 2
            if trouble:
                record(f'freeze {leader} for {FREEZE_S} s')
                group.processes[leader].send_signal(signal.SIGSTOP)
            frozen_at = time.monotonic()
            threads = []
            for number in range(CLIENTS):
                address = group.entries[number % len(group.entries)]
                job_id = f'{rng.getrandbits(64):016x}'
                delay_s = 0.002 * number
                threads.append(threading.Thread(target=submit, args=(job_id, prefix, address, delay_s)))
            routes.append(s.make_route(f'r{version}', prefix))
            # The operator reaches a node that is not frozen.
            node = (int(leader.rpartition('-')[2]) + 1) % 3
            order = threading.Thread(target=group.put_config, args=(version, list(routes), [s.make_service('svc')], node))
            for thread in threads:
                thread.start()
            time.sleep(0.15)
            order.start()
            time.sleep(max(0, frozen_at + FREEZE_S - time.monotonic()))
            if trouble:
                group.processes[leader].send_signal(signal.SIGCONT)
                record(f'{leader} wakes')
            for thread in (*threads, order):
                thread.join()
            time.sleep(2.5)
        return judge(record, workers, attempts)
    finally:
        for worker in workers:
            worker.close()
        group.close()


def judge(record, workers, attempts):
    started = {run['task'].partition('.')[0] for worker in workers for run in worker.starts}
    rejected = [job_id for job_id, status in attempts.items() if status in (404, 429, 503, 400)]
    broken = [job_id for job_id in rejected if job_id in started]
    for job_id in broken:
        record(f'REFUSED {job_id}: its only attempt was answered {attempts[job_id]}, and a task of it started')
    record(f'{len(attempts)} jobs, {len(rejected)} rejected, of these {len(broken)} started')
    return 1 if broken else 0


s.run_case(main)
