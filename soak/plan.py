"""Draws the plan of faults of a run from its seed."""

import random

import msgspec

# Seconds without a fault at the start, in which the control group forms.
FAULT_FREE_START_S = 3.0
# Maximum seconds between the starts of two faults; short, so that they overlap.
MAX_FAULT_INTERVAL_S = 1.6
CONTROL_NAMES = ('control-1', 'control-2', 'control-3')
ENTRY_NAMES = ('entry-1', 'entry-2')
GUARD_NAMES = ('guard-1', 'guard-2', 'guard-3', 'guard-4')
# Data centre of the worker of each guard; the operator evacuates the second.
DATA_CENTRES = {
    'guard-1': 'north-yard',
    'guard-2': 'north-yard',
    'guard-3': 'south-yard',
    'guard-4': 'south-yard',
}
EVACUATED = 'south-yard'
# Kinds of faults by target. Faults that lose a disk or a whole replica are at
# least ``RECOVERY_S`` apart, since the system is only required to survive one.
PROCESS_FAULTS = ('kill', 'pause', 'stop')
ROUTE_FAULTS = ('delay', 'reset', 'cut', 'cut_there', 'cut_back', 'forget')
WORKER_FAULTS = ('crash', 'late', 'mute', 'drain')
CONTROL_GROUP_FAULTS = ('kill_all', 'wipe', 'torn')
RECOVERY_S = 8.0


class Fault(msgspec.Struct, frozen=True):
    """One fault of a plan.

    Attributes:
        at_s: Start time, in seconds after the start of the callers.
        kind: One of the kinds above.
        target: Name of the process, or of the guard of the worker.
        duration_s: Duration in seconds.
    """

    at_s: float
    kind: str
    target: str
    duration_s: float


def draw_plan(seed: int, length_s: float) -> list[Fault]:
    """Draw the faults of a run.

    Args:
        seed: The seed.
        length_s: Time after which no fault starts.

    Returns:
        The faults, ordered by start time.
    """
    rng = random.Random(seed)
    plan: list[Fault] = []
    at_s = FAULT_FREE_START_S
    next_group_fault_at_s = 0.0
    while at_s < length_s:
        fault = _draw_fault(rng, at_s)
        if fault.kind in CONTROL_GROUP_FAULTS:
            if at_s < next_group_fault_at_s:
                continue
            next_group_fault_at_s = at_s + fault.duration_s + RECOVERY_S
        plan.append(fault)
        at_s += rng.uniform(0, MAX_FAULT_INTERVAL_S)
    return plan


def _draw_fault(rng: random.Random, at_s: float) -> Fault:
    duration_s = round(rng.uniform(0.3, 4.0), 2)
    at_s = round(at_s, 2)
    processes = CONTROL_NAMES + ENTRY_NAMES + GUARD_NAMES
    match rng.randrange(8):
        case 0 | 1 | 2:
            kind = rng.choice(PROCESS_FAULTS)
            return Fault(at_s, kind, rng.choice(processes), duration_s)
        case 3 | 4:
            kind = rng.choice(ROUTE_FAULTS)
            return Fault(at_s, kind, rng.choice(CONTROL_NAMES), duration_s)
        case 5 | 6:
            kind = rng.choice(WORKER_FAULTS)
            return Fault(at_s, kind, rng.choice(GUARD_NAMES), duration_s)
    kind = rng.choice(CONTROL_GROUP_FAULTS)
    return Fault(at_s, kind, rng.choice(CONTROL_NAMES), min(duration_s, 1.0))
