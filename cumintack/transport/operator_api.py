"""Edge to operators: the administration API under ``/admin/v1``."""

import hmac

import msgspec
from result import Err, Ok, Result

from cumintack.protocol.language import (
    Assign,
    Cancel,
    Drain,
    Hold,
    ReplicaChange,
    Select,
    Statement,
    Submit,
    Team,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.transport.http_server import HttpRequest, is_loopback

ADMIN_PREFIX = '/admin/v1/'
ROLE_RANKS = {'reader': 0, 'operator': 1, 'administrator': 2}
MAX_SESSION_LENGTH = 64


class OperatorToken(msgspec.Struct, frozen=True):
    """A token that the settings allow."""

    token: str
    name: str
    role: str
    team: str


class OperatorAccess(msgspec.Struct, frozen=True):
    """Who may use the API."""

    is_loopback_open: bool
    tokens: tuple[OperatorToken, ...]


class Operator(msgspec.Struct, frozen=True):
    """Who sent a request."""

    name: str
    role: str
    team: str = ''


class ExecuteBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``/admin/v1/execute``.

    Attributes:
        text: One statement of the language.
        session: Chosen by the sender; with the sequence it makes a repeated
            command harmless.
        sequence: Grows with each command of the session.
    """

    text: str
    session: str = ''
    sequence: int = 0


def identify_operator(
    request: HttpRequest,
    access: OperatorAccess,
) -> Result[Operator, StepError]:
    """Identify who sent a request.

    Every token is compared, in constant time, so that the time of the answer
    says nothing about any of them.

    Args:
        request: The request.
        access: Who may use the API.

    Returns:
        The operator, or an error.
    """
    scheme, _, secret = request.headers.get('authorization', '').partition(' ')
    found = None
    for candidate in access.tokens:
        if hmac.compare_digest(candidate.token.encode(), secret.encode()):
            found = candidate
    if found is not None and scheme.lower() == 'bearer':
        return Ok(Operator(found.name, found.role, found.team))
    if not secret and access.is_loopback_open and is_loopback(request.peer):
        return Ok(Operator('loopback', 'administrator'))
    return Err(
        StepError(
            ErrorCode.forbidden,
            'admin.identify',
            request.peer,
            'a valid bearer token is needed',
        ),
    )


def check_authorized(
    operator: Operator,
    statement: Statement,
) -> StepError | None:
    """Check whether an operator may use a statement.

    Args:
        operator: Who sent it.
        statement: The statement.

    Returns:
        An error, or None.
    """
    required = _get_needed_role(statement)
    if ROLE_RANKS[operator.role] < ROLE_RANKS[required]:
        return StepError(
            ErrorCode.forbidden,
            'admin.check',
            operator.name,
            f'role {required} is needed, this is a {operator.role}',
        )
    is_other_team = isinstance(statement, Submit) and operator.team not in {
        '',
        statement.team,
    }
    if is_other_team:
        return StepError(
            ErrorCode.forbidden,
            'admin.check',
            operator.name,
            f'this token is for team {operator.team}',
        )
    return None


def _get_needed_role(statement: Statement) -> str:
    match statement:
        case Select():
            return 'reader'
        case Submit() | Cancel() | Hold() | Drain():
            return 'operator'
        case Assign() | Team() | ReplicaChange():
            return 'administrator'


def decode_execute_body(request: HttpRequest) -> Result[ExecuteBody, StepError]:
    """Read the body of ``/admin/v1/execute``.

    Args:
        request: The request.

    Returns:
        The body, or an error.
    """
    try:
        body = msgspec.json.decode(request.body, type=ExecuteBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(
            StepError(
                ErrorCode.invalid,
                'admin.read',
                request.peer,
                str(error),
            ),
        )
    if len(body.session) > MAX_SESSION_LENGTH or body.sequence < 0:
        return Err(
            StepError(
                ErrorCode.invalid,
                'admin.read',
                request.peer,
                'session: at most 64 characters; sequence: 0 or more',
            ),
        )
    return Ok(body)
