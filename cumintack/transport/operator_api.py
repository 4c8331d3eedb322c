"""Access control and request bodies of the administration API.

The API is served under ``/admin/v1``.
"""

import hmac

import msgspec
from result import Err, Ok, Result

from cumintack.protocol.language import (
    Assign,
    Cancel,
    Drain,
    Evacuate,
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
# Largest integer that JSON documents represent exactly in every program.
MAX_SEQUENCE = 9007199254740991


class OperatorToken(msgspec.Struct, frozen=True):
    """A bearer token in the settings, with the operator it identifies."""

    token: str
    name: str
    role: str
    team: str


class OperatorAccess(msgspec.Struct, frozen=True):
    """Access rules of the API."""

    is_loopback_open: bool
    tokens: tuple[OperatorToken, ...]


class Operator(msgspec.Struct, frozen=True):
    """An authenticated operator."""

    name: str
    role: str
    team: str = ''


class ExecuteBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``/admin/v1/execute``.

    Attributes:
        text: One statement of the command language.
        session: Session identifier chosen by the client. Session and sequence
            make a repeated command idempotent.
        sequence: Increases with each command of the session.
    """

    text: str
    session: str = ''
    sequence: int = 0


def identify_operator(
    request: HttpRequest,
    access: OperatorAccess,
) -> Result[Operator, StepError]:
    """Authenticate the sender of a request.

    The secret is compared with every token, in constant time, so that the
    response time reveals nothing about the tokens.

    Args:
        request: The request.
        access: Access rules of the API.

    Returns:
        The operator, or an error if there is no valid token.
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
            'a valid bearer token is required',
        ),
    )


def check_authorized(
    operator: Operator,
    statement: Statement,
) -> StepError | None:
    """Check whether an operator may execute a statement.

    Args:
        operator: The operator.
        statement: The statement.

    Returns:
        An error, or None if the operator is authorized.
    """
    required = _get_required_role(statement)
    if ROLE_RANKS[operator.role] < ROLE_RANKS[required]:
        return StepError(
            ErrorCode.forbidden,
            'admin.check',
            operator.name,
            f'requires role {required}, the token has role {operator.role}',
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
            f'the token is restricted to team {operator.team}',
        )
    return None


def _get_required_role(statement: Statement) -> str:
    match statement:
        case Select():
            return 'reader'
        case Submit() | Cancel() | Hold() | Drain() | Evacuate():
            return 'operator'
        case Assign() | Team() | ReplicaChange():
            return 'administrator'


def decode_execute_body(request: HttpRequest) -> Result[ExecuteBody, StepError]:
    """Decode and check the body of ``/admin/v1/execute``.

    Args:
        request: The request.

    Returns:
        The body, or an error if it is invalid.
    """
    try:
        body = msgspec.json.decode(request.body, type=ExecuteBody)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(
            StepError(
                ErrorCode.invalid,
                'admin.read',
                request.peer,
                str(error),
            ),
        )
    if (
        len(body.session) > MAX_SESSION_LENGTH
        or not 0 <= body.sequence <= MAX_SEQUENCE
    ):
        return Err(
            StepError(
                ErrorCode.invalid,
                'admin.read',
                request.peer,
                'session: at most 64 characters; sequence: 0 to 2**53 - 1',
            ),
        )
    return Ok(body)
