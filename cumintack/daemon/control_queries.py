"""Linearizable queries at a control replica.

A query waits until a quorum has confirmed that the replica still leads.
"""

import msgspec
from result import Err, Ok

from cumintack.coordination import replication
from cumintack.coordination.querying import QueryContext, run_control_query
from cumintack.coordination.replication import Replica
from cumintack.protocol.language import Select, parse_statement
from cumintack.protocol.messages import QueryRequest
from cumintack.state.errors import ErrorCode, StepError


class PendingQuery(msgspec.Struct, frozen=True):
    """A query that waits for its read to be confirmed."""

    peer: str
    call_id: int
    select: Select


class QueryAnswer(msgspec.Struct, frozen=True):
    """The answer to a query.

    Attributes:
        peer: Process that receives the answer.
        call_id: Number of its call.
        rows: Rows as JSON.
        error: Why there are no rows.
    """

    peer: str
    call_id: int
    rows: bytes = b''
    error: StepError | None = None


def create_error_answer(
    peer: str, call_id: int, error: StepError
) -> QueryAnswer:
    """Create the answer to a query that failed.

    Args:
        peer: Process that sent the query.
        call_id: Number of its call.
        error: The error.

    Returns:
        An answer without rows.
    """
    return QueryAnswer(peer, call_id, error=error)


class PendingQueries:
    """The pending queries by the identifier of their read."""

    __slots__ = ('_last_read_id', '_queries')

    def __init__(self) -> None:
        """Start with no queries."""
        self._last_read_id = 0
        self._queries: dict[int, PendingQuery] = {}

    def submit(
        self,
        peer: str,
        message: QueryRequest,
        replica: Replica,
        now_s: float,
    ) -> StepError | None:
        """Request a confirmed read for a query; return an error if refused."""
        match parse_statement(message.text):
            case Err(parse_error):
                return parse_error
            case Ok(Select() as select):
                pass
            case _:
                return StepError(
                    ErrorCode.invalid,
                    'query',
                    peer,
                    'only select statements are queries',
                )
        self._last_read_id += 1
        read_id = self._last_read_id
        error = replication.request_read(replica, read_id, now_s)
        if error is None:
            self._queries[read_id] = PendingQuery(
                peer,
                message.call_id,
                select,
            )
        return error

    def answer(self, read_id: int, context: QueryContext) -> QueryAnswer:
        """Run a query, whose read is confirmed, on the applied state."""
        query = self._queries.pop(read_id)
        match run_control_query(query.select, context):
            case Ok(rows):
                encoded = msgspec.json.encode(rows)
                return QueryAnswer(query.peer, query.call_id, encoded)
            case Err(error):
                return create_error_answer(query.peer, query.call_id, error)

    def fail(self, read_id: int, error: StepError) -> QueryAnswer:
        """Answer a query whose read could not be confirmed."""
        query = self._queries.pop(read_id)
        return create_error_answer(query.peer, query.call_id, error)
