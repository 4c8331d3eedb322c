"""Admission of steps to workers by an external adviser.

A queue may be subject to a policy that only the adviser knows. The adviser
issues an admission ticket for each worker on which a step may run. A request
names only a few workers, because the answer takes longer with each of them,
and only one request is open at a time, because the adviser serves its clients
in turn. Its decision on a worker does not change for a step, but tickets
expire.
"""

import msgspec

from cumintack.state.workflows import StepKey, WorkflowTables

# Workers named in one request: half as many as the time objective of a step
# leaves room for.
MAX_WORKERS_PER_REQUEST = 15
# Seconds of validity that a ticket must have left to be used; recording and
# sending a start takes well less.
TICKET_MARGIN_S = 0.4
# Seconds until the next request after one that got no answer.
RETRY_DELAY_S = 0.3


class Ticket(msgspec.Struct, frozen=True):
    """Permission to run tasks of a step on one incarnation of a worker."""

    text: str
    valid_until_s: float


class AdviceRequest(msgspec.Struct, frozen=True):
    """A request to the adviser for tickets of one step.

    Attributes:
        step: The step.
        lifetimes: Incarnations of the workers, by worker identifier.
    """

    step: StepKey
    lifetimes: dict[str, str]


class Advice(msgspec.Struct, frozen=True):
    """An answer of the adviser.

    Attributes:
        tickets: Text of the ticket of each admitted worker, by its identifier.
        valid_s: Validity of the tickets in seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class StepAdvice(msgspec.Struct):
    """The advice received for one step.

    Attributes:
        tickets: The latest ticket, by incarnation of an admitted worker.
        denied_lifetimes: Incarnations of workers that are not admitted.
        asked_at_s: When the adviser was last asked for it.
    """

    tickets: dict[str, Ticket] = {}
    denied_lifetimes: set[str] = set()
    asked_at_s: float = float('-inf')


class AdviceState(msgspec.Struct):
    """The advice received so far, and the state of the open request.

    Attributes:
        steps: The advice for each step.
        is_request_open: Whether a request waits for its answer.
        retry_at_s: When the next request may be sent.
        is_turn_of_oldest: Whether the next request goes to the step that was
            asked for least recently, not to the first by rank.
    """

    steps: dict[StepKey, StepAdvice] = {}
    is_request_open: bool = False
    retry_at_s: float = 0
    is_turn_of_oldest: bool = False


def find_valid_ticket(
    state: AdviceState,
    step: StepKey,
    lifetime: str,
    now_s: float,
) -> str | None:
    """Find a ticket that remains valid long enough for a start.

    Args:
        state: The advice received so far.
        step: The step.
        lifetime: The incarnation of the worker.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The text of the ticket, or None if there is no valid one.
    """
    step_advice = state.steps.get(step)
    ticket = step_advice.tickets.get(lifetime) if step_advice else None
    if ticket is None or ticket.valid_until_s - now_s < TICKET_MARGIN_S:
        return None
    return ticket.text


def needs_advice(tables: WorkflowTables, step: StepKey) -> bool:
    """Tell whether a step needs admission tickets.

    Args:
        tables: The replicated workflow tables.
        step: The step.

    Returns:
        Whether its queue has an adviser.
    """
    return tables.workflows[step.workflow_id].queue.advice is not None


def record_advice(
    state: AdviceState,
    request: AdviceRequest,
    advice: Advice | None,
    now_s: float,
) -> None:
    """Record the answer to the open request.

    Args:
        state: The advice received so far, changed in place.
        request: The request.
        advice: The answer, or None if there was none.
        now_s: When the answer arrived.
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
    """Discard a ticket that the worker may have refused.

    Args:
        state: The advice received so far, changed in place.
        step: The step.
        lifetime: The incarnation of the worker.
    """
    step_advice = state.steps.get(step)
    if step_advice is not None:
        step_advice.tickets.pop(lifetime, None)


def prune_inactive_steps(state: AdviceState, tables: WorkflowTables) -> None:
    """Remove the advice for steps of workflows that have ended.

    Args:
        state: The advice received so far, changed in place.
        tables: The replicated workflow tables.
    """
    for step in list(state.steps):
        if step.workflow_id not in tables.index.active:
            state.steps.pop(step)
