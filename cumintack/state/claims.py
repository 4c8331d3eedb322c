"""Claims: idempotency records of keyed requests that are not idempotent.

A claim is replicated before the first dispatch, so that a retry through
another entry finds it. It keeps the outcome once there is one, and is removed
if the request did not run.
"""

import msgspec

MAX_RECORDED_BODY_BYTES = 16384


class RecordedAnswer(msgspec.Struct, frozen=True):
    """A stored response for callers that retry a request.

    Attributes:
        status: HTTP status returned by the upstream.
        content_type: Media type of the body.
        body: The complete body, empty if it was too large to store.
        is_body_kept: False if the body was too large to store.
    """

    status: int
    content_type: str = ''
    body: bytes = b''
    is_body_kept: bool = True


class Claim(msgspec.Struct, frozen=True):
    """The claim of an idempotency key.

    Attributes:
        claim_key: ``service:team:key``.
        request_id: The request that holds the claim.
        entry: The entry that dispatches the request.
        claimed_at_ms: Wall time of the claim, in ms since 1970.
        answer: The stored response, None until there is one.
        is_unknown: Whether the request ended with an unknown outcome.
    """

    claim_key: str
    request_id: str
    entry: str
    claimed_at_ms: int
    answer: RecordedAnswer | None = None
    is_unknown: bool = False
