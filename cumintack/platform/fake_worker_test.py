"""Fake worker for tests, written after the platform's documentation.

It stores running and ended runs, rejects fencing tokens below the highest one
received, and refuses to start a run that it has stopped. It neither measures
time nor lets leases expire.
"""

import json
from http import HTTPStatus

from cumintack.transport.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    find_free_port,
)

INSTANCE = 'i-7f3a91c2'
BORN_MS = 1700000000000


class FakeWorker:
    """HTTP server on loopback that behaves like a worker."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self.clock_ms = 482113
        self.token = 0
        self.lease_until_ms = 0
        self.running: dict[str, int] = {}
        self.stopped: dict[str, int] = {}
        self.ended: list[list[object]] = []
        self.paces: dict[str, int] = {}
        self.extra_rows: list[object] = []
        self.refusal = ''
        self.raw_answer = b''
        self.health_status = HTTPStatus.OK
        self.address = f'127.0.0.1:{find_free_port()}'
        self._server = HttpServer(self.address, self._respond, 4, 65536)
        self._server.start()

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _respond(self, request: HttpRequest) -> HttpResponse:
        if self.raw_answer:
            return HttpResponse(HTTPStatus.OK, self.raw_answer)
        if request.headers.get('x-expect-instance') != INSTANCE:
            return self._answer(HTTPStatus.MISDIRECTED_REQUEST)
        if request.method == 'GET':
            return self._answer(self.health_status)
        body = json.loads(request.body)
        if body.get('fencing_token', 0) < self.token:
            return self._answer(HTTPStatus.CONFLICT, reason='fence')
        self.token = body.get('fencing_token', 0)
        match request.path:
            case '/v1/run-start':
                return self._start(body)
            case '/v1/run-stop':
                self._stop(body['task'], body['run'])
                return self._answer(HTTPStatus.OK)
            case '/v1/pace':
                self.paces[body['task']] = body['percent']
                return self._answer(HTTPStatus.OK)
            case '/v1/hold':
                return self._hold(body)
        return self._answer(HTTPStatus.NOT_FOUND)

    def _start(self, body: dict[str, int | str]) -> HttpResponse:
        task, run = str(body['task']), int(body['run'])
        self.lease_until_ms = int(body['deadline_ms'])
        if run <= self.stopped.get(task, 0):
            return self._answer(HTTPStatus.CONFLICT, reason='old')
        if self.refusal:
            return self._answer(HTTPStatus.CONFLICT, reason=self.refusal)
        self.running[task] = run
        return self._answer(HTTPStatus.OK)

    def _stop(self, task: str, run: int) -> None:
        self.stopped[task] = run
        if self.running.get(task) == run:
            self.running.pop(task)
            number = len(self.ended) + 1
            self.ended.append([number, task, run, 'stopped', 'saved'])

    def _hold(self, body: dict[str, int]) -> HttpResponse:
        self.lease_until_ms = body.get('deadline_ms', self.lease_until_ms)
        acked = body['ack_seq']
        rows: list[object] = [
            [task, run, '', 41, 20] for task, run in self.running.items()
        ]
        return self._answer(
            HTTPStatus.OK,
            running=rows + self.extra_rows,
            finished=[row for row in self.ended if int(str(row[0])) > acked],
            born=BORN_MS,
        )

    def _answer(self, status: HTTPStatus, **fields: object) -> HttpResponse:
        body = {'clock_ms': self.clock_ms, **fields}
        return HttpResponse(status, json.dumps(body).encode())
