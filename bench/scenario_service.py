"""Service requests under overload and faults, compared with a baseline."""

import pathlib
import signal
import threading
import time
from collections.abc import Callable

import msgspec

from bench.deployments import (
    AUTHORITY,
    GUILD,
    SERVICE,
    Deployment,
    DeploymentSpec,
)
from bench.harness import (
    LOAD_COLUMNS,
    LedgerCheck,
    LoadRun,
    check_ledgers,
    create_load_row,
    create_plans,
    print_line,
    print_reasons,
    print_table,
)
from bench.load import LoadPlan, LoadResult
from bench.relay import RelayPlan
from cumintack.coordination.querying import Cell
from cumintack.demo.sample_upstream import Behaviour

WORK_MS = 300.0
SPREAD = 0.5
CALLERS = 300
LOAD_PROCESSES = 3
TIMEOUT_MS = 2000
UNLIMITED_QUEUE_PER_SLOT = 1000.0
SETTLE_S = 1.0
STOP_LOAD_SHARE = 0.8
LOAD_SHARES = (0.5, 0.9, 1.3, 3.0)
DEPLOYMENT_SPECS = {
    'guild': msgspec.structs.replace(
        GUILD,
        work_ms=WORK_MS,
        spread=SPREAD,
        relay=RelayPlan(far_delay_ms=4, near_delay_ms=0.2, jitter_ms=0.3),
    ),
    'authority': msgspec.structs.replace(
        AUTHORITY,
        work_ms=WORK_MS,
        spread=SPREAD,
        relay=RelayPlan(far_delay_ms=3, near_delay_ms=0.2, jitter_ms=0.3),
    ),
}

FaultAction = Callable[[Deployment], None]
TableRows = list[tuple[Cell, ...]]
Case = Callable[[Deployment, str], TableRows]


def compute_capacity(spec: DeploymentSpec) -> float:
    """Compute the requests per second that a deployment can serve.

    Args:
        spec: The deployment.

    Returns:
        Number of slots divided by the mean service time.
    """
    return spec.workers * spec.slots / (spec.work_ms / 1000)


def create_baseline(spec: DeploymentSpec) -> DeploymentSpec:
    """Create the baseline: round robin, no effective queue limit, no retries.

    Args:
        spec: The deployment.

    Returns:
        The same deployment with the policy of the baseline.
    """
    return msgspec.structs.replace(
        spec,
        policy='round-robin',
        queue_per_slot=UNLIMITED_QUEUE_PER_SLOT,
    )


def _create_plan(
    deployment: Deployment,
    rate_per_s: float,
    seconds: float,
) -> LoadPlan:
    return LoadPlan(
        tuple(entry.http for entry in deployment.entries),
        f'/services/{SERVICE}/quotes',
        rate_per_s,
        seconds,
        CALLERS,
        TIMEOUT_MS,
        '',
    )


def _run_load(
    plan: LoadPlan,
    folder: pathlib.Path,
    processes: int = LOAD_PROCESSES,
) -> LoadResult:
    plans = create_plans(plan, processes, folder)
    return LoadRun(plans, folder).wait(plan.duration_s * 3 + 30)


def run_overload(folder: pathlib.Path, name: str, seconds: float) -> None:
    """Offer a deployment 0.5 to 3 times the load that it can serve.

    Args:
        folder: Folder of logs and results.
        name: Key of ``DEPLOYMENT_SPECS``.
        seconds: Duration of each load.
    """
    spec = DEPLOYMENT_SPECS[name]
    capacity = compute_capacity(spec)

    def run_case(deployment: Deployment, label: str) -> TableRows:
        rows = []
        for share in LOAD_SHARES:
            plan = _create_plan(deployment, capacity * share, seconds)
            result = _run_load(plan, folder)
            rows.append(create_load_row(f'{label} {share:.0%}', result))
            print_reasons(result)
            time.sleep(SETTLE_S)
        return rows

    print_table(
        f'{name}: {spec.workers} workers of {spec.slots} slots, '
        f'{WORK_MS} ms of work, capacity {capacity:.0f}/s, '
        f'timeout {TIMEOUT_MS} ms',
        LOAD_COLUMNS,
        _run_with_baseline(spec, folder, run_case),
    )


def _run_with_baseline(
    spec: DeploymentSpec, folder: pathlib.Path, run_case: Case
) -> TableRows:
    """Run a case with the default policy and with the baseline."""
    rows: TableRows = []
    cases = (('cumintack', spec), ('baseline', create_baseline(spec)))
    for policy, case_spec in cases:
        case_folder = folder / policy
        case_folder.mkdir()
        deployment = Deployment(case_spec, case_folder)
        deployment.start()
        try:
            rows.extend(run_case(deployment, policy))
        finally:
            deployment.stop()
    return rows


def run_degraded(folder: pathlib.Path, name: str, seconds: float) -> None:
    """Run at half load with one fault at a time.

    Args:
        folder: Folder of logs and results.
        name: Key of ``DEPLOYMENT_SPECS``.
        seconds: Duration of each load.
    """
    spec = DEPLOYMENT_SPECS[name]
    rate_per_s = compute_capacity(spec) / 2

    def run_case(deployment: Deployment, label: str) -> TableRows:
        rows = []
        for fault, action in FAULTS.items():
            plan = _create_plan(deployment, rate_per_s, seconds)
            action(deployment)
            result = _run_load(plan, folder)
            rows.append(create_load_row(f'{label} {fault}', result))
            print_reasons(result)
            _clear_faults(deployment)
        return rows

    print_table(
        f'{name}: half load, one fault at a time',
        LOAD_COLUMNS,
        _run_with_baseline(spec, folder, run_case),
    )


def _inject_nothing(deployment: Deployment) -> None:
    time.sleep(SETTLE_S)


def _slow_one_upstream(deployment: Deployment) -> None:
    slow = Behaviour(WORK_MS, SPREAD, factor=10)
    deployment.set_behaviour(deployment.workers[0], slow)


def _hang_one_upstream(deployment: Deployment) -> None:
    hung = Behaviour(WORK_MS, SPREAD, is_hung=True)
    deployment.set_behaviour(deployment.workers[0], hung)


def _delay(action: FaultAction, seconds: float = 2.0) -> FaultAction:
    def start_timer(deployment: Deployment) -> None:
        threading.Timer(seconds, action, (deployment,)).start()

    return start_timer


def _kill_guard(deployment: Deployment) -> None:
    deployment.processes[deployment.workers[0].name].kill()


def _blackhole_connections(deployment: Deployment) -> None:
    deployment.processes['relay-0'].send_signal(signal.SIGUSR1)


def _pause_controls(deployment: Deployment) -> None:
    for control in deployment.controls:
        deployment.processes[control.name].pause()


FAULTS: dict[str, FaultAction] = {
    'no fault': _inject_nothing,
    '1 slow x10': _slow_one_upstream,
    '1 hung': _hang_one_upstream,
    'guard killed': _delay(_kill_guard),
    'silent links': _delay(_blackhole_connections),
    'no control': _delay(_pause_controls),
}


def _clear_faults(deployment: Deployment) -> None:
    healthy = Behaviour(WORK_MS, SPREAD)
    deployment.set_behaviour(deployment.workers[0], healthy)
    for control in deployment.controls:
        deployment.processes[control.name].resume()
    worker = deployment.workers[0]
    if not deployment.processes[worker.name].is_running():
        deployment.start_daemon(worker, 'guard', 0)
    time.sleep(SETTLE_S * 4)


def run_stops(folder: pathlib.Path, seconds: float) -> None:
    """Stop an entry, a guard and an upstream gracefully under load.

    Args:
        folder: Folder of logs and results.
        seconds: Duration of each load.
    """
    spec = DEPLOYMENT_SPECS['guild']
    rate_per_s = compute_capacity(spec) * STOP_LOAD_SHARE
    deployment = Deployment(spec, folder)
    deployment.start()
    rows = []
    names = (
        deployment.entries[0].name,
        deployment.workers[0].name,
        f'upstream-{deployment.workers[1].name}',
    )
    try:
        for name in names:
            process = deployment.processes[name]
            threading.Timer(seconds / 2, process.terminate).start()
            plan = _create_plan(deployment, rate_per_s, seconds)
            result = _run_load(plan, folder)
            rows.append(create_load_row(f'SIGTERM {name}', result))
            print_line(f'{name}: exit {process.wait()}, {result.unsent} unsent')
            print_reasons(result)
    finally:
        deployment.stop()
    print_table('Graceful stops at 80% load', LOAD_COLUMNS, rows)


def run_faults(folder: pathlib.Path, total: int) -> None:
    """Send all kinds of requests under faults and check the ledgers.

    Args:
        folder: Folder of logs and results.
        total: Number of requests to send.
    """
    spec = msgspec.structs.replace(
        DEPLOYMENT_SPECS['guild'],
        work_ms=10.0,
        workers=6,
    )
    rate_per_s = 900.0
    seconds = total / rate_per_s
    deployment = Deployment(spec, folder)
    deployment.start()
    plan = msgspec.structs.replace(
        _create_plan(deployment, rate_per_s, seconds),
        keyed_share=0.15,
        bare_share=0.15,
        resend_share=0.5,
        timeout_ms=1000,
    )
    plans = create_plans(plan, LOAD_PROCESSES, folder)
    load = LoadRun(plans, folder)
    stopped = threading.Event()
    thread = threading.Thread(
        target=_inject_faults,
        args=(deployment, stopped, seconds),
    )
    thread.start()
    result = load.wait(seconds * 2 + 60)
    stopped.set()
    thread.join()
    time.sleep(SETTLE_S * 3)
    ledger_check = check_ledgers(deployment.fetch_ledgers(), result, spec.slots)
    deployment.stop()
    print_table(
        'Requests of all kinds under faults',
        LOAD_COLUMNS,
        [create_load_row('faults', result)],
    )
    print_reasons(result)
    print_ledger_check(result, ledger_check)


def print_ledger_check(result: LoadResult, ledger_check: LedgerCheck) -> None:
    """Print the violations of the request invariants.

    Args:
        result: Result of the load.
        ledger_check: Violations found in the ledgers.
    """
    print_table(
        'Check against the ledgers of the upstreams',
        (
            'executions',
            'wrong answers',
            'false not-run',
            'duplicate executions',
            'upstreams over their slots',
        ),
        [
            (
                ledger_check.executions,
                result.wrong,
                ledger_check.false_not_run,
                ledger_check.duplicate_executions,
                ledger_check.upstreams_over_slots,
            ),
        ],
    )


def _inject_faults(
    deployment: Deployment,
    stopped: threading.Event,
    seconds: float,
) -> None:
    injections = (
        _inject_guard_kill,
        _inject_silent_links,
        _inject_upstream_hang,
        _inject_entry_pause,
        _inject_control_kill,
        _inject_short_answers,
    )
    number = 0
    ends_at_s = time.monotonic() + seconds - 6
    while time.monotonic() < ends_at_s and not stopped.wait(1.5):
        injections[number % len(injections)](deployment, number)
        number += 1
    print_line(f'faults injected: {number}')


def _inject_guard_kill(deployment: Deployment, number: int) -> None:
    index = number % len(deployment.workers)
    worker = deployment.workers[index]
    deployment.processes[worker.name].kill()
    time.sleep(0.5)
    deployment.start_daemon(worker, 'guard', index)


def _inject_silent_links(deployment: Deployment, number: int) -> None:
    _blackhole_connections(deployment)


def _inject_upstream_hang(deployment: Deployment, number: int) -> None:
    worker = deployment.workers[number % len(deployment.workers)]
    deployment.set_behaviour(worker, Behaviour(10.0, is_hung=True))
    time.sleep(1.5)
    deployment.set_behaviour(worker, Behaviour(10.0))


def _inject_entry_pause(deployment: Deployment, number: int) -> None:
    entry = deployment.entries[number % len(deployment.entries)]
    process = deployment.processes[entry.name]
    process.pause()
    time.sleep(0.7)
    process.resume()


def _inject_control_kill(deployment: Deployment, number: int) -> None:
    index = number % len(deployment.controls)
    control = deployment.controls[index]
    deployment.processes[control.name].kill()
    time.sleep(0.5)
    deployment.start_daemon(control, 'control', index)


def _inject_short_answers(deployment: Deployment, number: int) -> None:
    worker = deployment.workers[number % len(deployment.workers)]
    deployment.set_behaviour(worker, Behaviour(10.0, is_short=True))
    time.sleep(1.0)
    deployment.set_behaviour(worker, Behaviour(10.0))
