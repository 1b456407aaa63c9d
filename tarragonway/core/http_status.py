"""Status codes of HTTP responses that ``aiohttp`` has parsed."""

import aiohttp

# RFC 9110, section 15: other numbers are not status codes. aiohttp accepts 0 to 999.
MIN_STATUS, MAX_STATUS = 100, 599


async def reject_invalid_status(response: aiohttp.ClientResponse) -> None:
    """Raise for a number that is not a status code.

    Passed to sessions as ``raise_for_status``, this makes such a response count as a
    failed exchange.

    Raises
    ------
    aiohttp.ClientResponseError
        If the number is not a status code.
    """
    if MIN_STATUS <= response.status <= MAX_STATUS:
        return
    response.close()
    raise aiohttp.ClientResponseError(
        response.request_info,
        response.history,
        status=response.status,
        message=f"{response.status} is not a status code",
    )
