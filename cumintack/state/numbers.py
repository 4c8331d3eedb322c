"""Bounds of the numbers in messages between processes.

A number that is not finite spreads through every sum that it enters, and can be
neither converted to an integer nor written as JSON. Decoding rejects such
numbers, and others that no process can mean.
"""

from typing import Annotated

import msgspec

# Largest number of each kind, far above any clock or measurement.
MAX_FINITE = 1e12
# A day: no lease lasts so long, and no call can be carried out so late.
MAX_HOLD_S = 86400.0

Finite = Annotated[float, msgspec.Meta(ge=-MAX_FINITE, le=MAX_FINITE)]
# Duration in seconds for which something must be taken to go on.
HoldDuration = Annotated[float, msgspec.Meta(ge=0, le=MAX_HOLD_S)]
