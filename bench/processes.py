"""Real processes on loopback: start, pause, kill by id, and what they cost."""

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
    """What a process has used so far.

    Attributes:
        cpu_s: Processor time.
        rss_mb: Memory resident now.
        read_at_s: When this was read.
    """

    cpu_s: float
    rss_mb: float
    read_at_s: float


class BenchProcess:
    """One process that the bench started."""

    __slots__ = ('_log', '_process', 'name')

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        folder: pathlib.Path,
    ) -> None:
        """Start ``python -m module`` with its log in the folder."""
        self.name = name
        self._log = (folder / f'{name}.log').open('ab')
        self._process = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', module, *arguments],
            stdout=self._log,
            stderr=self._log,
            stdin=subprocess.DEVNULL,
        )

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def pause(self) -> None:
        """Freeze the process."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self._process.send_signal(signal.SIGCONT)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process at once."""
        self._process.kill()
        self._process.wait()

    def terminate(self) -> None:
        """Ask the process to stop in good order."""
        if self.is_running():
            self._process.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Wait for the end; None if it did not come in time."""
        try:
            return self._process.wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
        finally:
            self._log.close()

    def read_usage(self) -> ProcessUsage:
        """Read processor time and memory of the process."""
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
    """Compute the share of a core between two readings.

    Args:
        before: The earlier reading.
        after: The later reading.

    Returns:
        Percent of one core.
    """
    elapsed_s = after.read_at_s - before.read_at_s
    return 100 * (after.cpu_s - before.cpu_s) / elapsed_s if elapsed_s else 0


def stop_all(processes: list[BenchProcess]) -> None:
    """Stop processes in good order, all at once.

    Args:
        processes: The processes.
    """
    for process in processes:
        if process.is_running():
            process.resume()
        process.terminate()
    for process in processes:
        process.wait()
