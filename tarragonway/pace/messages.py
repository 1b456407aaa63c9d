"""Paces in the reports of gateways and in the leader's replies.

Values are percentages, which take at most 3 bytes each, since 80 gateways exchange the
paces of 45 endpoints every two seconds.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

# Endpoints in one message. With keys of 16 bytes that is about 1 KB.
MAX_SENT_PACES = 48

Percent = Annotated[int, Meta(ge=20, le=800)]
SampleCount = Annotated[int, Meta(ge=0, le=65_535)]


class MeasuredPace(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway has newly learned about one endpoint.

    ``slowdown`` is the mean of ``statements`` stated slowdowns, ``ratio`` the median of
    ``times`` measured times relative to the expected ones, which include the stated
    slowdown. Both are percentages, and without meaning if their number is 0.
    """

    slowdown: Percent
    statements: SampleCount
    ratio: Percent
    times: SampleCount


class EndpointPace(msgspec.Struct, frozen=True, array_like=True):
    """The usual slowdown and the ratio of one endpoint, in percent.

    The ratio is relative to the median of the service's endpoints.
    """

    slowdown: Percent
    ratio: Percent
