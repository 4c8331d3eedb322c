"""Budgets: token buckets for retries and for the rate of a team.

All retries of an entry draw on one budget, filled by a fraction of its
requests, so that retries can't multiply an overload.
"""

import msgspec

MAX_RETRY_TOKENS = 50.0
RETRY_FLOOR_PER_S = 2.0


class TokenBucket(msgspec.Struct):
    """A token bucket.

    Attributes:
        tokens: Tokens left.
        filled_at_s: When time last added tokens.
    """

    tokens: float
    filled_at_s: float


def fill(
    bucket: TokenBucket, rate_per_s: float, limit: float, now_s: float
) -> None:
    """Add the tokens of the time that passed.

    Args:
        bucket: The bucket, changed in place.
        rate_per_s: Tokens a second.
        limit: Most tokens that it holds.
        now_s: The time.
    """
    passed_s = max(0.0, now_s - bucket.filled_at_s)
    bucket.tokens = min(limit, bucket.tokens + passed_s * rate_per_s)
    bucket.filled_at_s = now_s


def take(bucket: TokenBucket) -> bool:
    """Take one token.

    Args:
        bucket: The bucket, changed in place.

    Returns:
        Whether there was one.
    """
    if bucket.tokens < 1:
        return False
    bucket.tokens -= 1
    return True


def add_retry_credit(bucket: TokenBucket, ratio: float, now_s: float) -> None:
    """Add the fraction of a retry that a request earns.

    Args:
        bucket: The retry budget, changed in place.
        ratio: Retries allowed as a fraction of requests.
        now_s: The time.
    """
    fill(bucket, RETRY_FLOOR_PER_S, MAX_RETRY_TOKENS, now_s)
    bucket.tokens = min(MAX_RETRY_TOKENS, bucket.tokens + ratio)
