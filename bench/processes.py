"""Child processes: start, pause, stop, and resource usage."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import msgspec

CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
STOP_TIMEOUT_S = 15.0
MB = 1024 * 1024


class ProcessUsage(msgspec.Struct, frozen=True):
    """Resource usage of a process.

    Attributes:
        cpu_s: Processor time since its start, user and system.
        rss_mb: Resident memory.
        read_at_s: Monotonic time of the reading.
    """

    cpu_s: float
    rss_mb: float
    read_at_s: float


class BenchProcess:
    """A child process running a Python module."""

    __slots__ = ('_log', '_process', 'name')

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        folder: pathlib.Path,
    ) -> None:
        """Start ``python -m module``, with its output in a log file."""
        self.name = name
        self._log = (folder / f'{name}.log').open('ab')
        self._process = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', module, *arguments],
            stdout=self._log,
            stderr=self._log,
            stdin=subprocess.DEVNULL,
        )

    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self._process.poll() is None

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._process.send_signal(signal.SIGCONT)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self._process.kill()
        self._process.wait()

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM."""
        if self.is_running():
            self._process.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Wait for the end of the process and return its exit code.

        A process that has not ended within the timeout is killed, and None is
        returned.
        """
        try:
            return self._process.wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
        finally:
            self._log.close()

    def read_usage(self) -> ProcessUsage:
        """Read the resource usage, zeros if the process is gone."""
        folder = pathlib.Path('/proc') / str(self._process.pid)
        try:
            fields = (folder / 'stat').read_text().rpartition(')')[2].split()
            pages = int((folder / 'statm').read_text().split()[1])
        except OSError:
            return ProcessUsage(0, 0, time.monotonic())
        ticks = int(fields[11]) + int(fields[12])
        return ProcessUsage(
            ticks / CLOCK_TICKS_PER_S,
            pages * PAGE_BYTES / MB,
            time.monotonic(),
        )


def compute_cpu_percent(before: ProcessUsage, after: ProcessUsage) -> float:
    """Compute the processor usage between two readings.

    Args:
        before: The earlier reading.
        after: The later reading.

    Returns:
        Usage in percent of one core.
    """
    elapsed_s = after.read_at_s - before.read_at_s
    return 100 * (after.cpu_s - before.cpu_s) / elapsed_s if elapsed_s else 0


def stop_all(processes: list[BenchProcess]) -> None:
    """Stop processes gracefully and in parallel.

    Suspended processes are resumed first, since they can't handle SIGTERM.

    Args:
        processes: The processes.
    """
    for process in processes:
        if process.is_running():
            process.resume()
        process.terminate()
    for process in processes:
        process.wait()
