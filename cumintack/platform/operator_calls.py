"""HTTP API of the operator: configuration of queues, and evacuations."""

import re
from collections.abc import Container
from http import HTTPStatus

import msgspec

from cumintack.daemon.workflow_entry_component import LeaderGateway
from cumintack.platform._wire import (
    DECODE_ERRORS,
    WireConfiguration,
    WireRoute,
)
from cumintack.state.queues import (
    AdviserLatency,
    Pool,
    Queue,
    QueueConfiguration,
    validate_queue_configuration,
)
from cumintack.state.workflows import ReplaceQueues
from cumintack.transport.http_server import HttpRequest, HttpResponse

EVACUATION_PATH = re.compile(
    '/v1/evacuation/(?P<data_centre>[^/]+)/(?P<change>start|end)'
)
MAX_DATA_CENTRE_LENGTH = 64
# The operator tries another node when there is no response within this time.
MAX_TIMEOUT_S = 0.9

_CONFIGURATIONS = msgspec.json.Decoder(WireConfiguration)


class OperatorCalls:
    """Handles the requests that arrive at one control replica."""

    __slots__ = ('_data_centres', '_gateway')

    def __init__(
        self, gateway: LeaderGateway, data_centres: Container[str] = ()
    ) -> None:
        """Create a handler that forwards to a gateway.

        Args:
            gateway: The gateway.
            data_centres: The data centres that may be evacuated; empty for
                any.
        """
        self._gateway = gateway
        self._data_centres = data_centres

    def respond(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of the operator."""
        match (request.method, request.path):
            case ('POST', '/v1/config/replace'):
                return self._replace(request.body)
            case ('GET', '/v1/config/read'):
                return self._read()
        evacuation = EVACUATION_PATH.fullmatch(request.path)
        if evacuation is not None and request.method == 'POST':
            return self._set_evacuation(
                evacuation['data_centre'],
                is_active=evacuation['change'] == 'start',
            )
        return _create_error_response(HTTPStatus.NOT_FOUND, 'no such path')

    def _set_evacuation(
        self, data_centre: str, *, is_active: bool
    ) -> HttpResponse:
        is_known = not self._data_centres or data_centre in self._data_centres
        if not is_known or len(data_centre) > MAX_DATA_CENTRE_LENGTH:
            return _create_error_response(
                HTTPStatus.NOT_FOUND,
                f'no data centre {data_centre[:MAX_DATA_CENTRE_LENGTH]!r}',
            )
        error = self._gateway.set_evacuation(
            data_centre, is_active=is_active, timeout_s=MAX_TIMEOUT_S
        )
        if error is not None:
            return _create_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, error.detail
            )
        return HttpResponse(HTTPStatus.OK, b'{}')

    def _replace(self, body: bytes) -> HttpResponse:
        configuration = decode_configuration(body)
        if isinstance(configuration, str):
            return _create_error_response(HTTPStatus.BAD_REQUEST, configuration)
        error = self._gateway.submit(
            ReplaceQueues(configuration), MAX_TIMEOUT_S
        )
        if error is not None:
            return _create_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, error.detail
            )
        return HttpResponse(HTTPStatus.OK, b'{}')

    def _read(self) -> HttpResponse:
        reply = self._gateway.fetch_configuration(MAX_TIMEOUT_S)
        if reply.error is not None:
            return _create_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, reply.error.detail
            )
        if not reply.source:
            return _create_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no queues are configured yet',
            )
        return HttpResponse(HTTPStatus.OK, reply.source)


def _create_error_response(status: HTTPStatus, detail: str) -> HttpResponse:
    return HttpResponse(status, msgspec.json.encode({'error': detail}))


def decode_configuration(body: bytes) -> QueueConfiguration | str:
    """Decode and check a configuration.

    Args:
        body: JSON body sent by the operator.

    Returns:
        The configuration, or a description of all errors in it.
    """
    try:
        wire = _CONFIGURATIONS.decode(body)
    except DECODE_ERRORS as error:
        return str(error)
    configuration = QueueConfiguration(
        wire.version,
        tuple(_decode_route(route) for route in wire.routes),
        tuple(
            Pool(
                service.name,
                service.is_capacity_checked,
                service.is_standby,
                service.health_path,
            )
            for service in wire.services
        ),
        wire.limits.max_body_bytes,
        body,
    )
    problems = validate_queue_configuration(configuration)
    return '; '.join(problems) if problems else configuration


def _decode_route(route: WireRoute) -> Queue:
    advice = None
    if route.advice is not None:
        advice = AdviserLatency(
            route.advice.decide_ms,
            route.advice.each_worker_ms,
            route.advice.valid_ms,
        )
    return Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.pool,
        route.priority,
        route.attempts,
        route.stretch,
        route.slack_ms,
        route.timeout_ms,
        advice,
    )
