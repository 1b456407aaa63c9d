"""Network addresses as text, checked once where they are read."""

import re
from typing import NewType

from tarragonway.core.errors import TarragonwayError

# Address to which connections are opened, as "IP:port".
EndpointAddress = NewType("EndpointAddress", str)

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = (
    r"(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}"
    r"|[1-9][0-9]{0,3})"
)
# An IPv4 number and a port from 1 to 65535, in ASCII digits without leading zeros.
ADDRESS_PATTERN = rf"\A{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}\Z"
_ADDRESS = re.compile(ADDRESS_PATTERN)
# Numbers from here on are no address of one host: multicast, reserved and broadcast.
_FIRST_SHARED_OCTET = 224
_MAX_SHOWN_LENGTH = 80


class AddressError(TarragonwayError, ValueError):
    """A text is not the address that it should be."""


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    Raises
    ------
    AddressError
        If the text is not an IPv4 number and a port from 1 to 65535.

    Examples
    --------
    >>> parse_address("10.0.0.9:8080")
    ('10.0.0.9', 8080)
    >>> parse_address("10.0.0.9:70000")
    Traceback (most recent call last):
    ...
    tarragonway.core.addresses.AddressError: '10.0.0.9:70000' is not IP:port
    """
    if _ADDRESS.match(text) is None:
        shown = text[:_MAX_SHOWN_LENGTH]
        raise AddressError(f"{shown!a} is not IP:port")
    host, _, port = text.rpartition(":")
    return host, int(port)


def check_endpoint_address(text: str) -> EndpointAddress:
    """Return the text as an address of one host, to which a connection can be opened.

    Raises
    ------
    AddressError
        If it is not such an address.

    Examples
    --------
    >>> check_endpoint_address("0.0.0.0:80")
    Traceback (most recent call last):
    ...
    tarragonway.core.addresses.AddressError: '0.0.0.0:80' is not the address of a host
    """
    host, _ = parse_address(text)
    if not 0 < int(host.partition(".")[0]) < _FIRST_SHARED_OCTET:
        raise AddressError(f"{text!r} is not the address of a host")
    return EndpointAddress(text)
