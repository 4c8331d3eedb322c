"""Health probes of the worker of a guard, in a thread of their own.

A probe may hang on a worker that still answers polls, so that it must hold up
neither the polls nor the calls.
"""

import threading
import traceback
from collections.abc import Callable

import msgspec
import structlog

from cumintack.daemon.auto_reset_event import AutoResetEvent
from cumintack.protocol.run_messages import WorkerInfo

# Seconds between two probes: an unhealthy worker is reported within one and a
# half on average, and a probe costs the guard about a ms of processor time.
PROBE_INTERVAL_S = 1.0
# Seconds until the next probe after one without an answer, which holds a
# connection until its timeout and costs a new one.
NO_ANSWER_INTERVAL_S = 3.0

logger = structlog.get_logger()


class HealthTarget(msgspec.Struct, frozen=True):
    """What to probe.

    Attributes:
        worker_info: The worker.
        path: Path of its health endpoint.
    """

    worker_info: WorkerInfo
    path: str


class HealthProber:
    """Probes a worker and passes on what it answers."""

    __slots__ = ('_event', '_find_target', '_is_closing', '_probe', '_record')

    def __init__(
        self,
        find_target: Callable[[], HealthTarget | None],
        probe: Callable[[WorkerInfo, str], bool | None],
        record: Callable[[WorkerInfo, bool], None],
    ) -> None:
        """Start the thread.

        Args:
            find_target: Returns what to probe, None for nothing now.
            probe: Returns whether the worker considers itself healthy, None
                without an answer.
            record: Gets the worker and its answer.
        """
        self._find_target = find_target
        self._probe = probe
        self._record = record
        self._is_closing = False
        self._event = AutoResetEvent()
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """End the thread after the probe in progress."""
        self._is_closing = True
        self._event.signal()

    def _run(self) -> None:
        while not self._is_closing:
            self._event.wait_and_reset(self._probe_once())

    def _probe_once(self) -> float:
        """Probe the target, if any, and return the time to the next probe."""
        target = self._find_target()
        if target is None:
            return PROBE_INTERVAL_S
        try:
            is_healthy = self._probe(target.worker_info, target.path)
        except Exception:  # noqa: BLE001
            logger.error('guard: probe failed', error=traceback.format_exc())
            is_healthy = None
        if is_healthy is None:
            return NO_ANSWER_INTERVAL_S
        self._record(target.worker_info, is_healthy)
        return PROBE_INTERVAL_S
