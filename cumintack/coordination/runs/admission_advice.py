"""Which workers an outside adviser allows for which steps.

A queue may be under a policy that only the adviser knows. It is asked about a
few workers at a time, since an answer takes longer with each worker named;
one question is open at a time, since it serves each of us in turn. What it
allows does not change for a step, but its tickets expire.
"""

import msgspec

from cumintack.coordination.runs.step_ranking import rank_step
from cumintack.coordination.runs.worker_views import WorkerView, is_schedulable
from cumintack.state.workflows import StepKey, WorkflowTables

# Workers named in one question; half of what the objective of a step allows
# for.
MAX_WORKERS_PER_REQUEST = 15
# Seconds before a ticket expires from which it is not relied on: a start is
# recorded and sent well within it.
TICKET_MARGIN_S = 0.4
# Seconds until the adviser is asked again after it gave no answer.
RETRY_DELAY_S = 0.3


class Ticket(msgspec.Struct, frozen=True):
    """Leave to run tasks of a step on one life of a worker."""

    text: str
    valid_until_s: float


class AdviceRequest(msgspec.Struct, frozen=True):
    """A question to the adviser.

    Attributes:
        step: The step.
        lifetimes: Lives of the workers, by identifier of the worker.
    """

    step: StepKey
    lifetimes: dict[str, str]


class Advice(msgspec.Struct, frozen=True):
    """An answer of the adviser.

    Attributes:
        tickets: Texts of tickets by identifier of an allowed worker.
        valid_s: How long they are valid.
    """

    tickets: dict[str, str]
    valid_s: float


class StepAdvice(msgspec.Struct):
    """What is known for one step.

    Attributes:
        tickets: The latest ticket by life of an allowed worker.
        denied_lifetimes: Lives of workers that are not allowed.
    """

    tickets: dict[str, Ticket] = {}
    denied_lifetimes: set[str] = set()


class AdviceState(msgspec.Struct):
    """What the adviser said.

    Attributes:
        steps: What is known by step.
        is_request_open: Whether a question is open.
        retry_at_s: When the next question may be asked.
    """

    steps: dict[StepKey, StepAdvice] = {}
    is_request_open: bool = False
    retry_at_s: float = 0


def find_valid_ticket(
    state: AdviceState,
    step: StepKey,
    lifetime: str,
    now_s: float,
) -> str | None:
    """Find a ticket that holds for a while yet.

    Args:
        state: What the adviser said.
        step: The step.
        lifetime: The life of a worker.
        now_s: The time.

    Returns:
        The text of the ticket, or None.
    """
    step_advice = state.steps.get(step)
    ticket = step_advice.tickets.get(lifetime) if step_advice else None
    if ticket is None or ticket.valid_until_s - now_s < TICKET_MARGIN_S:
        return None
    return ticket.text


def choose_advice_request(
    state: AdviceState,
    tables: WorkflowTables,
    views: dict[str, WorkerView],
    now_s: float,
    now_ms: float,
) -> AdviceRequest | None:
    """Choose what to ask, for the first waiting step that lacks tickets.

    Args:
        state: What the adviser said, changed in place.
        tables: The workflows.
        views: The workers by guard.
        now_s: The time.
        now_ms: Wall time.

    Returns:
        The question, or None.
    """
    if state.is_request_open or now_s < state.retry_at_s:
        return None
    ranks = sorted(
        rank_step(tables, key, now_ms)
        for key in tables.index.waiting
        if needs_advice(tables, key)
    )
    for rank in ranks:
        lifetimes = _choose_workers(state, tables, rank.key, views, now_s)
        if lifetimes:
            state.is_request_open = True
            return AdviceRequest(rank.key, lifetimes)
    return None


def needs_advice(tables: WorkflowTables, step: StepKey) -> bool:
    """Tell whether a step needs tickets.

    Args:
        tables: The workflows.
        step: The step.

    Returns:
        Whether its queue has an adviser.
    """
    return tables.workflows[step.workflow_id].queue.advice is not None


def _choose_workers(
    state: AdviceState,
    tables: WorkflowTables,
    step: StepKey,
    views: dict[str, WorkerView],
    now_s: float,
) -> dict[str, str]:
    step_advice = state.steps.setdefault(step, StepAdvice())
    pool = tables.workflows[step.workflow_id].queue.pool
    workers = [
        view.facts
        for view in views.values()
        if view.facts.pool == pool
        and is_schedulable(view, now_s)
        and view.facts.lifetime not in step_advice.denied_lifetimes
        and find_valid_ticket(state, step, view.facts.lifetime, now_s) is None
    ]
    # Workers that were allowed before are allowed again.
    workers.sort(key=lambda facts: facts.lifetime not in step_advice.tickets)
    return {
        facts.worker_id: facts.lifetime
        for facts in workers[:MAX_WORKERS_PER_REQUEST]
    }


def record_advice(
    state: AdviceState,
    request: AdviceRequest,
    advice: Advice | None,
    now_s: float,
) -> None:
    """Take the answer to the open question.

    Args:
        state: What the adviser said, changed in place.
        request: The question.
        advice: The answer, None if there was none.
        now_s: When it came.
    """
    state.is_request_open = False
    if advice is None:
        state.retry_at_s = now_s + RETRY_DELAY_S
        return
    step_advice = state.steps.setdefault(request.step, StepAdvice())
    valid_until_s = now_s + advice.valid_s
    for worker, lifetime in request.lifetimes.items():
        text = advice.tickets.get(worker)
        if text is None:
            step_advice.denied_lifetimes.add(lifetime)
        else:
            step_advice.tickets[lifetime] = Ticket(text, valid_until_s)


def discard_ticket(state: AdviceState, step: StepKey, lifetime: str) -> None:
    """Drop a ticket that may have been refused.

    Args:
        state: What the adviser said, changed in place.
        step: The step.
        lifetime: The life of the worker.
    """
    step_advice = state.steps.get(step)
    if step_advice is not None:
        step_advice.tickets.pop(lifetime, None)


def prune_inactive_steps(state: AdviceState, tables: WorkflowTables) -> None:
    """Forget steps of workflows that have ended.

    Args:
        state: What the adviser said, changed in place.
        tables: The workflows.
    """
    for step in list(state.steps):
        if step.workflow_id not in tables.index.active:
            state.steps.pop(step)
