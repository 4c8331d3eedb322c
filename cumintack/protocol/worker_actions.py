"""What a guard asks of the agent of its worker, and what that reports."""

import msgspec

from cumintack.protocol.messages import TaskOrder


class HeldAttempt(msgspec.Struct, frozen=True):
    """An attempt as the worker reports it.

    Attributes:
        task_id: The task.
        attempt: Its fencing number.
        phase: ``running``, ``stopped``, ``completed``, ``failed``, or
            ``absent`` for one that it was told to stop and did not know.
        checkpoint: Latest checkpoint.
        detail: Why it failed.
        is_throttled: Whether it is slowed down.
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
    """Slow an attempt down, or end that."""

    task_id: str
    attempt: int
    is_throttled: bool


class ForgetAttempts(msgspec.Struct, frozen=True):
    """Drop ended attempts whose reports are recorded."""

    attempts: tuple[tuple[str, int], ...]


WorkerAction = (
    StartAttempt
    | RenewAttempts
    | StopAttempt
    | ThrottleAttempt
    | ForgetAttempts
)
