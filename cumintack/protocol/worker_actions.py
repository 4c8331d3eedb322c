"""Actions that a guard requests from its worker's agent, and reports of it."""

import msgspec

from cumintack.protocol.messages import TaskOrder


class HeldAttempt(msgspec.Struct, frozen=True):
    """An attempt as reported by the worker.

    Attributes:
        task_id: The task.
        attempt: Number of the attempt, which fences earlier ones.
        phase: ``running``, ``stopped``, ``completed``, ``failed``, or
            ``absent`` if the worker was to stop an attempt that it did not
            hold.
        checkpoint: Latest checkpoint.
        detail: Why it failed.
        is_throttled: Whether it is throttled.
    """

    task_id: str
    attempt: int
    phase: str
    checkpoint: str = ''
    detail: str = ''
    is_throttled: bool = False


class StartAttempt(msgspec.Struct, frozen=True):
    """Start an attempt under a lease."""

    order: TaskOrder
    expires_at_s: float


class RenewAttempts(msgspec.Struct, frozen=True):
    """Renew the leases of attempts."""

    attempts: tuple[tuple[str, int], ...]
    expires_at_s: float


class StopAttempt(msgspec.Struct, frozen=True):
    """Checkpoint an attempt and stop it."""

    task_id: str
    attempt: int


class ThrottleAttempt(msgspec.Struct, frozen=True):
    """Throttle an attempt, or lift its throttling."""

    task_id: str
    attempt: int
    is_throttled: bool


class ForgetAttempts(msgspec.Struct, frozen=True):
    """Forget ended attempts whose reports are recorded."""

    attempts: tuple[tuple[str, int], ...]


WorkerAction = (
    StartAttempt
    | RenewAttempts
    | StopAttempt
    | ThrottleAttempt
    | ForgetAttempts
)
