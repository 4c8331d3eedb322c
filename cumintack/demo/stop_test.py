"""A graceful stop completes the requests in flight."""

import pathlib
import threading
import time

from result import Ok

from cumintack.demo.__main__ import SERVICE, Demo
from cumintack.demo.sample_upstream import Behaviour
from cumintack.transport.http_client import HttpAnswer, HttpClient

CALLERS = 8
REQUEST_TIME_MS = 400.0
TIMEOUT_S = 10.0


def _call(address: str, answers: list[HttpAnswer], sent: list[int]) -> None:
    client = HttpClient(address, 1, 65536)
    number = len(sent)
    sent.append(number)
    answer = client.send(
        'GET',
        f'/services/{SERVICE}/quotes?id=s{number}',
        {},
        b'',
        TIMEOUT_S,
    )
    if isinstance(answer, Ok):
        answers.append(answer.ok_value)
    client.close()


def test_stop_under_load(tmp_path: pathlib.Path) -> None:
    """Requests that the upstream has started are answered before exit."""
    demo = Demo(tmp_path)
    assert demo.wait_for_rows('select * from upstreams where is_open = true')
    assert demo.wait_ready()
    demo.upstream.replace_behaviour(
        Behaviour(work_ms=REQUEST_TIME_MS, spread=0)
    )
    answers: list[HttpAnswer] = []
    sent: list[int] = []
    threads = [
        threading.Thread(
            target=_call,
            args=(demo.entry_address, answers, sent),
        )
        for _ in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    deadline_s = time.monotonic() + TIMEOUT_S
    while demo.upstream.get_ledger().total < CALLERS:
        assert time.monotonic() < deadline_s
        time.sleep(0.01)
    assert demo.stop()
    for thread in threads:
        thread.join()
    assert [answer.status for answer in answers] == [
        200 for _ in range(CALLERS)
    ]
