"""Token buckets for the retry budget and for the rate limits of teams.

All retries of an entry take tokens from one bucket, to which each request
adds a fraction of a token, so that retries can't multiply an overload.
"""

import msgspec

MAX_RETRY_TOKENS = 50.0
MIN_RETRY_RATE_PER_S = 2.0


class TokenBucket(msgspec.Struct):
    """A token bucket.

    Attributes:
        tokens: Tokens left.
        refilled_at_s: When tokens were last added for elapsed time.
    """

    tokens: float
    refilled_at_s: float


def refill(
    bucket: TokenBucket, rate_per_s: float, limit: float, now_s: float
) -> None:
    """Add the tokens for the time since the last refill.

    Args:
        bucket: The bucket, changed in place.
        rate_per_s: Tokens added per second.
        limit: Maximum number of tokens in the bucket.
        now_s: The current time.
    """
    elapsed_s = max(0.0, now_s - bucket.refilled_at_s)
    bucket.tokens = min(limit, bucket.tokens + elapsed_s * rate_per_s)
    bucket.refilled_at_s = now_s


def try_take(bucket: TokenBucket) -> bool:
    """Take one token if there is one.

    Args:
        bucket: The bucket, changed in place.

    Returns:
        Whether a token was taken.
    """
    if bucket.tokens < 1:
        return False
    bucket.tokens -= 1
    return True


def add_retry_credit(bucket: TokenBucket, ratio: float, now_s: float) -> None:
    """Add the fraction of a retry that each request is credited with.

    Args:
        bucket: The retry budget, changed in place.
        ratio: Allowed retries as a fraction of requests.
        now_s: The current time.
    """
    refill(bucket, MIN_RETRY_RATE_PER_S, MAX_RETRY_TOKENS, now_s)
    bucket.tokens = min(MAX_RETRY_TOKENS, bucket.tokens + ratio)
