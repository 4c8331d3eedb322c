"""Parser of the operators' query and command language.

The command line, its interactive shell and the API accept the same language.
The parser returns typed statements and does not depend on their execution.
"""

import functools
import pathlib

import lark
import msgspec
from result import Err, Ok, Result

from cumintack.state.errors import ErrorCode, StepError

GRAMMAR_NAME = 'command.lark'
MAX_TEXT_LENGTH = 65536
BOOLEANS = {'true': True, 'false': False}
STEP = 'language.parse'

Scalar = bool | int | float | str


class Condition(msgspec.Struct, frozen=True):
    """Comparison of a column with a scalar."""

    column: str
    comparator: str
    scalar: Scalar


class Ordering(msgspec.Struct, frozen=True):
    """Column to sort by."""

    column: str
    is_descending: bool = False


class Select(msgspec.Struct, frozen=True, tag=True):
    """Select rows of a table; no columns means all columns."""

    table: str
    columns: tuple[str, ...] = ()
    conditions: tuple[Condition, ...] = ()
    ordering: Ordering | None = None
    limit: int = 1000


class Option(msgspec.Struct, frozen=True):
    """A named option of a command."""

    name: str
    scalar: Scalar


class Submit(msgspec.Struct, frozen=True, tag=True):
    """Submit a job for a team."""

    name: str
    team: str
    options: tuple[Option, ...]


class Cancel(msgspec.Struct, frozen=True, tag=True):
    """Cancel jobs."""

    job_ids: tuple[str, ...]


class Drain(msgspec.Struct, frozen=True, tag=True):
    """Start or stop draining a worker."""

    worker: str
    is_draining: bool


class Evacuate(msgspec.Struct, frozen=True, tag=True):
    """Begin or end the evacuation of a data centre."""

    data_centre: str
    is_active: bool


class Hold(msgspec.Struct, frozen=True, tag=True):
    """Hold or release a job."""

    job_id: str
    is_held: bool


class Assign(msgspec.Struct, frozen=True, tag=True):
    """Set configuration keys."""

    assignments: tuple[Option, ...]
    version: int | None = None


class Team(msgspec.Struct, frozen=True, tag=True):
    """Create or change a team."""

    name: str
    options: tuple[Option, ...]


class ReplicaChange(msgspec.Struct, frozen=True, tag=True):
    """Add, replace or remove a control replica."""

    name: str
    address: str
    is_removal: bool


Statement = (
    Select
    | Submit
    | Cancel
    | Drain
    | Evacuate
    | Hold
    | Assign
    | Team
    | ReplicaChange
)


def _convert_word(text: str) -> Scalar:
    boolean = BOOLEANS.get(text.lower())
    if boolean is not None:
        return boolean
    for convert_text in (int, float):
        try:
            return convert_text(text)
        except ValueError:
            continue
    return text


class _StatementBuilder(lark.Transformer):
    def start(self, children: list[Statement]) -> Statement:
        return children[0]

    def scalar(self, children: list[lark.Token]) -> Scalar:
        token = children[0]
        if token.type == 'STRING':
            return str(token)[1:-1]
        return _convert_word(str(token))

    def all_columns(self, _children: list[lark.Token]) -> tuple[str, ...]:
        return ()

    def named_columns(self, children: list[lark.Token]) -> tuple[str, ...]:
        return tuple(str(child) for child in children)

    def condition(self, children: list[lark.Token]) -> Condition:
        column, comparator, scalar = children
        return Condition(str(column), str(comparator), scalar)

    def where(self, children: list[Condition]) -> tuple[Condition, ...]:
        return tuple(children)

    def ascending(self, _children: list[lark.Token]) -> bool:
        return False

    def descending(self, _children: list[lark.Token]) -> bool:
        return True

    def order(self, children: list[lark.Token]) -> Ordering:
        is_descending = len(children) > 1 and bool(children[1])
        return Ordering(str(children[0]), is_descending)

    def limit(self, children: list[lark.Token]) -> int:
        return int(str(children[0]))

    def select(self, children: list[object]) -> Select:
        conditions: tuple[Condition, ...] = ()
        ordering = None
        limit = 1000
        for child in children[2:]:
            match child:
                case tuple():
                    conditions = child
                case Ordering():
                    ordering = child
                case int():
                    limit = child
        columns = children[0]
        if not isinstance(columns, tuple):
            columns = ()
        return Select(
            str(children[1]).lower(),
            columns,
            conditions,
            ordering,
            limit,
        )

    def option(self, children: list[lark.Token]) -> Option:
        return Option(str(children[0]), children[1])

    assignment = option

    def submit(self, children: list[Option]) -> Submit:
        return Submit(str(children[0]), str(children[1]), tuple(children[2:]))

    def cancel(self, children: list[Scalar]) -> Cancel:
        return Cancel(tuple(str(child) for child in children))

    def drain(self, children: list[Scalar]) -> Drain:
        return Drain(str(children[0]), is_draining=True)

    def undrain(self, children: list[Scalar]) -> Drain:
        return Drain(str(children[0]), is_draining=False)

    def evacuate(self, children: list[Scalar]) -> Evacuate:
        return Evacuate(str(children[0]), is_active=True)

    def readmit(self, children: list[Scalar]) -> Evacuate:
        return Evacuate(str(children[0]), is_active=False)

    def hold(self, children: list[Scalar]) -> Hold:
        return Hold(str(children[0]), is_held=True)

    def release(self, children: list[Scalar]) -> Hold:
        return Hold(str(children[0]), is_held=False)

    def version(self, children: list[lark.Token]) -> int:
        return int(str(children[0]))

    def set(self, children: list[Option | int]) -> Assign:
        assignments = tuple(
            child for child in children if isinstance(child, Option)
        )
        versions = [child for child in children if isinstance(child, int)]
        return Assign(assignments, versions[0] if versions else None)

    def team(self, children: list[Option]) -> Team:
        return Team(str(children[0]), tuple(children[1:]))

    def add_replica(self, children: list[Scalar]) -> ReplicaChange:
        return ReplicaChange(
            str(children[0]), str(children[1]), is_removal=False
        )

    def remove_replica(self, children: list[Scalar]) -> ReplicaChange:
        return ReplicaChange(str(children[0]), '', is_removal=True)


@functools.cache
def _create_parser() -> lark.Lark:
    grammar = pathlib.Path(__file__).with_name(GRAMMAR_NAME)
    return lark.Lark(
        grammar.read_text(encoding='utf-8'),
        parser='lalr',
        lexer='contextual',
    )


def parse_statement(text: str) -> Result[Statement, StepError]:
    """Parse one statement.

    Args:
        text: The statement as entered by an operator.

    Returns:
        The statement, or an error with the position of the problem.
    """
    if len(text) > MAX_TEXT_LENGTH:
        return Err(
            StepError(
                ErrorCode.too_large,
                STEP,
                '',
                f'longer than {MAX_TEXT_LENGTH} characters',
            ),
        )
    try:
        tree = _create_parser().parse(text)
        return Ok(_StatementBuilder().transform(tree))
    except lark.exceptions.VisitError as error:
        return Err(_create_error(f'invalid number: {error.orig_exc}'))
    except lark.exceptions.UnexpectedInput as error:
        return Err(_create_error(_describe_syntax_error(text, error)))


def _describe_syntax_error(
    text: str, error: lark.exceptions.UnexpectedInput
) -> str:
    token = getattr(error, 'token', None)
    if token is not None and token.type == '$END':
        return f'column {len(text) + 1}: unexpected end of input'
    position = error.pos_in_stream or 0
    seen = text[position:].split(maxsplit=1)[0]
    location = f'line {error.line}, column {error.column}'
    return f'{location}: unexpected {seen!r}'


def _create_error(detail: str) -> StepError:
    return StepError(ErrorCode.invalid, STEP, '', detail)
