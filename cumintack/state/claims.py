"""Claims of keyed requests that are not idempotent.

A claim is replicated before the first dispatch, so that a caller who sends
the request again through another entry finds it. It ends with the outcome,
or is dropped when the request did not run.
"""

import msgspec

MAX_RECORDED_BODY_BYTES = 16384


class RecordedAnswer(msgspec.Struct, frozen=True):
    """An answer kept for a caller who asks again.

    Attributes:
        status: HTTP status of the upstream.
        content_type: Media type of the body.
        body: The whole body, empty if it was too large to keep.
        is_body_kept: Whether the body is the whole body.
    """

    status: int
    content_type: str = ''
    body: bytes = b''
    is_body_kept: bool = True


class Claim(msgspec.Struct, frozen=True):
    """A claim of one idempotency key of one service.

    Attributes:
        claim_key: ``service:team:key``.
        request_id: The request that holds the claim.
        entry: The entry that dispatches it.
        claimed_at_ms: Wall time of the claim, in ms since 1970.
        answer: The recorded answer, once there is one.
        is_unknown: Whether the outcome is known to be unknown.
    """

    claim_key: str
    request_id: str
    entry: str
    claimed_at_ms: int
    answer: RecordedAnswer | None = None
    is_unknown: bool = False
