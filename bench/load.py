"""Open-loop load generator, run as a separate process.

Requests arrive at random times of a Poisson process, whether or not earlier
ones were answered. Latencies are measured from the scheduled time, so that a
slow system can't look faster by delaying the load (coordinated omission).
With a rate of 0 the load is closed-loop: each caller sends its next request
after the answer to the one before.
"""

import pathlib
import queue
import random
import sys
import threading
import time

import click
import msgspec
from hdrh.histogram import HdrHistogram
from result import Err

from cumintack.transport.caller_api import OutcomeBody
from cumintack.transport.http_client import HttpClient

MAX_ANSWER_BYTES = 65536
MAX_LATENCY_US = 120000000
SIGNIFICANT_DIGITS = 3
LATE_START_THRESHOLD_S = 0.5


class LoadPlan(msgspec.Struct, frozen=True):
    """Parameters of a load process.

    Attributes:
        addresses: Addresses of entries or upstreams, used in turn.
        path: Path prefix of every request.
        rate_per_s: Mean requests per second; 0 for a closed loop.
        duration_s: Duration of the load.
        callers: Threads that send requests.
        timeout_ms: Timeout in the header of each request.
        keyed_share: Share of requests that are not idempotent and have an
            idempotency key.
        bare_share: Share of requests that are not idempotent and have no
            idempotency key.
        resend_share: Share of keyed requests that are sent a second time,
            through another entry.
        seed: Seed of arrival times and request kinds.
        prefix: Prefix of the request identifiers, unique to each process.
        team: Team in the header of each request.
        output: Path of the result file.
    """

    addresses: tuple[str, ...]
    path: str
    rate_per_s: float
    duration_s: float
    callers: int
    timeout_ms: int
    output: str
    keyed_share: float = 0.0
    bare_share: float = 0.0
    resend_share: float = 0.0
    seed: int = 1
    prefix: str = 'a'
    team: str = 'default'


class LoadResult(msgspec.Struct):
    """Counts and latencies measured by a load process.

    Attributes:
        offered: Requests sent, repeated ones included.
        completed: Requests answered by the upstream.
        on_time: Completed requests answered within the timeout, counted
            from the scheduled time.
        not_run: Requests refused before they ran.
        unknown: Requests with an unknown outcome.
        failed: Requests that were sent and got no HTTP answer, or one with
            another outcome.
        unsent: Requests not sent because no connection was made.
        wrong: Completed requests with an unexpected body: the answer to
            another request, or a truncated one.
        late_starts: Requests that the load generator itself sent over
            ``LATE_START_THRESHOLD_S`` after their scheduled time.
        latencies_us: Latencies of completed requests.
        refusals_us: Latencies of refused requests.
        reasons: Requests that did not complete, by outcome and reason.
        not_run_ids: Identifiers of refused requests that were sent once.
        once_ids: Identifiers of requests that are not idempotent.
        elapsed_s: Duration of the run, until the last answer.
    """

    offered: int = 0
    completed: int = 0
    on_time: int = 0
    not_run: int = 0
    unknown: int = 0
    failed: int = 0
    unsent: int = 0
    wrong: int = 0
    late_starts: int = 0
    latencies_us: list[int] = []
    refusals_us: list[int] = []
    reasons: dict[str, int] = {}
    not_run_ids: list[str] = []
    once_ids: list[str] = []
    elapsed_s: float = 0


class ScheduledRequest(msgspec.Struct, frozen=True):
    """A request and the time at which it is due."""

    due_at_s: float
    number: int


class LoadGenerator:
    """Sends the requests of one plan from a pool of threads."""

    __slots__ = ('_clients', '_requests', '_lock', '_plan', 'result')

    def __init__(self, plan: LoadPlan) -> None:
        """Create one HTTP client for each address."""
        self._plan = plan
        self._requests: queue.SimpleQueue[ScheduledRequest | None] = (
            queue.SimpleQueue()
        )
        self._lock = threading.Lock()
        self._clients = [
            HttpClient(address, plan.callers, MAX_ANSWER_BYTES)
            for address in plan.addresses
        ]
        self.result = LoadResult()

    def run(self) -> None:
        """Send all requests of the plan and wait for their answers."""
        threads = [
            threading.Thread(target=self._run_caller, args=(number,))
            for number in range(self._plan.callers)
        ]
        started_s = time.monotonic()
        for thread in threads:
            thread.start()
        if self._plan.rate_per_s:
            self._schedule_requests(started_s)
        for thread in threads:
            thread.join()
        self.result.elapsed_s = time.monotonic() - started_s

    def _schedule_requests(self, started_s: float) -> None:
        rng = random.Random(self._plan.seed)
        due_at_s = started_s
        number = 0
        while due_at_s < started_s + self._plan.duration_s:
            wait_s = due_at_s - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            self._requests.put(ScheduledRequest(due_at_s, number))
            number += 1
            due_at_s += rng.expovariate(self._plan.rate_per_s)
        for _ in range(self._plan.callers):
            self._requests.put(None)

    def _run_caller(self, caller: int) -> None:
        if self._plan.rate_per_s:
            while True:
                request = self._requests.get()
                if request is None:
                    return
                self._issue_request(request)
        number = caller
        ends_at_s = time.monotonic() + self._plan.duration_s
        while time.monotonic() < ends_at_s:
            self._issue_request(ScheduledRequest(time.monotonic(), number))
            number += self._plan.callers

    def _issue_request(self, request: ScheduledRequest) -> None:
        plan = self._plan
        request_id = f'{plan.prefix}{request.number}'
        rng = random.Random(f'{plan.seed}.{request.number}')
        headers = {
            'Cumintack-Timeout-Ms': str(plan.timeout_ms),
            'Cumintack-Team': plan.team,
        }
        random_share = rng.random()
        is_keyed = random_share < plan.keyed_share
        is_not_idempotent = random_share < plan.keyed_share + plan.bare_share
        if is_not_idempotent:
            headers['Cumintack-Not-Idempotent'] = 'true'
        if is_keyed:
            headers['Idempotency-Key'] = request_id
        outcome = self._send(request, request_id, headers, request.number)
        is_resent = is_keyed and rng.random() < plan.resend_share
        if is_resent:
            self._send(request, request_id, headers, request.number + 1)
        with self._lock:
            if is_not_idempotent:
                self.result.once_ids.append(request_id)
            if outcome == 'not-run' and not is_resent:
                self.result.not_run_ids.append(request_id)

    def _send(
        self,
        request: ScheduledRequest,
        request_id: str,
        headers: dict[str, str],
        number: int,
    ) -> str:
        plan = self._plan
        client = self._clients[number % len(self._clients)]
        sent_at_s = time.monotonic()
        sent = client.send(
            'GET',
            f'{plan.path}?id={request_id}',
            headers,
            b'',
            plan.timeout_ms / 1000 + 5,
        )
        now_s = time.monotonic()
        outcome = 'failed'
        is_wrong_answer = False
        reason = 'no answer'
        if isinstance(sent, Err):
            outcome = 'unsent' if sent.err_value.is_unsent else 'failed'
        else:
            answer = sent.ok_value
            answer_headers = {
                header.name.lower(): header.text for header in answer.headers
            }
            outcome = answer_headers.get('cumintack-outcome', 'completed')
            expected = b'{"answer_to":"%s"}' % request_id.encode()
            reason = ''
            if outcome != 'completed':
                reason = _read_reason(answer.body)
            is_wrong_answer = outcome == 'completed' and answer.body != expected
        latency_us = int((now_s - request.due_at_s) * 1000000)
        with self._lock:
            self._record_outcome(
                outcome, latency_us, is_wrong_answer=is_wrong_answer
            )
            if outcome != 'completed':
                reasons = self.result.reasons
                label = f'{outcome}: {reason}'
                reasons[label] = reasons.get(label, 0) + 1
            if sent_at_s - request.due_at_s > LATE_START_THRESHOLD_S:
                self.result.late_starts += 1
        return outcome

    def _record_outcome(
        self, outcome: str, latency_us: int, *, is_wrong_answer: bool
    ) -> None:
        result = self.result
        result.offered += 1
        result.wrong += int(is_wrong_answer)
        match outcome:
            case 'completed':
                result.completed += 1
                result.latencies_us.append(latency_us)
                limit_us = self._plan.timeout_ms * 1000
                result.on_time += int(latency_us <= limit_us)
            case 'not-run':
                result.not_run += 1
                result.refusals_us.append(latency_us)
            case 'unknown':
                result.unknown += 1
            case 'unsent':
                result.unsent += 1
            case _:
                result.failed += 1


def _read_reason(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=OutcomeBody).reason
    except msgspec.DecodeError:
        return 'unreadable'


def merge_results(process_results: list[LoadResult]) -> LoadResult:
    """Merge the results of several load processes into one.

    Args:
        process_results: One result for each process.

    Returns:
        Summed counts, all latencies, and the longest elapsed time.
    """
    merged = LoadResult()
    for result in process_results:
        for name in ('offered', 'completed', 'on_time', 'not_run', 'unknown'):
            setattr(merged, name, getattr(merged, name) + getattr(result, name))
        merged.failed += result.failed
        merged.unsent += result.unsent
        for reason, count in result.reasons.items():
            before = merged.reasons.get(reason, 0)
            merged.reasons[reason] = before + count
        merged.wrong += result.wrong
        merged.late_starts += result.late_starts
        merged.latencies_us.extend(result.latencies_us)
        merged.refusals_us.extend(result.refusals_us)
        merged.not_run_ids.extend(result.not_run_ids)
        merged.once_ids.extend(result.once_ids)
        merged.elapsed_s = max(merged.elapsed_s, result.elapsed_s)
    return merged


def compute_percentiles_ms(latencies_us: list[int]) -> tuple[float, ...]:
    """Compute p50, p99 and p99.9.

    Args:
        latencies_us: Latencies in microseconds.

    Returns:
        The three percentiles in milliseconds; zeros for no latencies.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency_us in latencies_us:
        histogram.record_value(max(1, min(MAX_LATENCY_US, latency_us)))
    if not latencies_us:
        return (0.0, 0.0, 0.0)
    return tuple(
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99, 99.9)
    )


@click.command()
@click.argument('plan_path', type=click.Path(path_type=pathlib.Path))
def main(plan_path: pathlib.Path) -> None:
    """Run the load of a plan file and write the result file."""
    plan = msgspec.json.decode(plan_path.read_bytes(), type=LoadPlan)
    sys.setswitchinterval(0.001)
    load_generator = LoadGenerator(plan)
    load_generator.run()
    encoded = msgspec.json.encode(load_generator.result)
    pathlib.Path(plan.output).write_bytes(encoded)


if __name__ == '__main__':
    main()
