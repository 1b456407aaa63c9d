"""Validation of a configuration of the platform before it is sent to a coordinator."""

import argparse
import asyncio
import io
import sys
from collections.abc import Iterable, Iterator
from typing import Any, BinaryIO
from urllib.parse import urljoin, urlsplit

import aiohttp
import msgspec

from tarragonway.core.errors import TarragonwayError
from tarragonway.core.http_status import reject_invalid_status
from tarragonway.platform import names
from tarragonway.platform.configuration import check_submitted, decode_configuration
from tarragonway.platform.type_faults import list_decoding_faults
from tarragonway.platform.words import translate_place
from tarragonway.routes.checks import Fault
from tarragonway.routes.model import (
    MAX_CONFIGURATION_BYTES,
    ConfigurationError,
)
from tarragonway.validation import (
    Finding,
    RetryBounds,
    Severity,
    list_contradictions,
    list_differences,
    list_unused,
)

EXIT_CLEAN = 0
EXIT_WARNINGS = 1
EXIT_ERRORS = 2
EXIT_NOT_CHECKED = 3

READ_TIMEOUT_S = 8.0
# A member that does not lead names the leader, which may change in between.
MAX_REDIRECTS = 2
REDIRECT_STATUS = 307


class NotReadError(TarragonwayError):
    """A text to validate, or to compare with, cannot be read."""


class Report(msgspec.Struct, frozen=True):
    """Result of a validation; ``unchecked`` is the reason if a part was left out."""

    findings: tuple[Finding, ...] = ()
    unchecked: str = ""

    def count(self, severity: Severity) -> int:
        """Return the number of findings of a severity."""
        return sum(finding.severity is severity for finding in self.findings)

    @property
    def exit_code(self) -> int:
        """Exit code of the program; differences alone do not change it."""
        if self.count(Severity.ERROR):
            return EXIT_ERRORS
        if self.unchecked:
            return EXIT_NOT_CHECKED
        return EXIT_WARNINGS if self.count(Severity.WARNING) else EXIT_CLEAN


def validate_text(data: bytes, in_force: bytes | None, retries: RetryBounds) -> Report:
    """Return what is to be said of a configuration's text.

    It has errors exactly if a coordinator rejects it.

    Parameters
    ----------
    data : bytes
        The text.
    in_force : bytes or None
        Text of the version in force, if it is to be compared with that.
    retries : RetryBounds
        Bounds of retries in the settings of the gateways.
    """
    if len(data) > MAX_CONFIGURATION_BYTES:
        text = f"the text has over {MAX_CONFIGURATION_BYTES} bytes"
        fault = Fault(text, remedy="remove what is not needed")
        return Report(tuple(_make_errors([fault])))
    try:
        configuration, faults = check_submitted(data)
    except ConfigurationError as error:
        return Report(tuple(_make_errors(list_decoding_faults(data, error))))
    findings = list(_make_errors(faults))
    findings += list_unused(configuration)
    findings += list_contradictions(configuration, retries)
    unchecked = ""
    if in_force is not None:
        try:
            findings += list_differences(configuration, decode_configuration(in_force))
        except ConfigurationError as error:
            unchecked = f"the version in force {error}"
    return Report(tuple(_translate(finding) for finding in findings), unchecked)


def _make_errors(faults: Iterable[Fault]) -> Iterator[Finding]:
    for fault in faults:
        yield Finding(Severity.ERROR, fault.place, fault.key, fault.text, fault.remedy)


def _translate(finding: Finding) -> Finding:
    """Return a finding with the platform's words for its place."""
    return msgspec.structs.replace(
        finding,
        place=translate_place(finding.place),
        key=translate_place(finding.key),
    )


def add_validate_parser(
    commands: "argparse._SubParsersAction[Any]",
) -> None:
    """Add the subcommand ``validate``."""
    parser = commands.add_parser(
        "validate",
        help="check a configuration of the platform before it is sent",
        description="Print errors and warnings of a configuration, and what differs "
        "from the version in force.",
        epilog="exit codes: 0 clean, 1 warnings, 2 errors, 3 not checked (a text could "
        "not be read)",
    )
    parser.add_argument("file", help="file of the configuration, - for standard input")
    source = parser.add_mutually_exclusive_group()
    source.add_argument(
        "--against", metavar="FILE", help="file of the version in force"
    )
    source.add_argument(
        "--coordinator",
        metavar="HOST:PORT",
        help="operator address of a coordinator, which has the version in force",
    )
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    defaults = RetryBounds()
    parser.add_argument(
        "--retry-ratio",
        type=float,
        default=defaults.ratio,
        help="retry_ratio in the gateways' settings (default: %(default)s)",
    )
    parser.add_argument(
        "--retry-slack",
        type=float,
        default=defaults.slack,
        help="retry_slack in the gateways' settings (default: %(default)s)",
    )
    parser.set_defaults(handle=_validate, usage_exit=EXIT_NOT_CHECKED)


def _validate(arguments: argparse.Namespace) -> int:
    retries = RetryBounds(arguments.retry_ratio, arguments.retry_slack)
    try:
        data = _read_file(arguments.file)
    except NotReadError as error:
        report = Report(unchecked=str(error))
    else:
        in_force, reason = _read_in_force(arguments)
        report = validate_text(data, in_force, retries)
        if reason:
            report = msgspec.structs.replace(report, unchecked=reason)
    text = _encode_json(report) if arguments.json else _format(report)
    try:
        _print_safely(text)
    except OSError as error:
        # The reader of the output, such as ``head``, has ended, or a disk is full.
        print(f"tarragonway: the output cannot be written: {error}", file=sys.stderr)
        sys.stdout = None
        return EXIT_NOT_CHECKED
    return report.exit_code


def _read_in_force(arguments: argparse.Namespace) -> tuple[bytes | None, str]:
    """Return the version in force, and why it could not be read if so."""
    try:
        if arguments.coordinator is not None:
            return asyncio.run(read_from_coordinator(arguments.coordinator)), ""
        if arguments.against is not None:
            return _read_file(arguments.against), ""
    except NotReadError as error:
        return None, f"not compared with the version in force: {error}"
    return None, ""


def _read_file(name: str) -> bytes:
    """Return a file's text, up to one byte over the longest that is accepted.

    Raises
    ------
    NotReadError
        If it cannot be read.
    """
    try:
        if name == "-":
            return _read_bounded(sys.stdin.buffer)
        with open(name, "rb") as file:
            return _read_bounded(file)
    # ``ValueError`` is raised for a name with a null character, and ``AttributeError``
    # if the standard input is closed.
    except (OSError, ValueError, AttributeError) as error:
        raise NotReadError(f"{name} cannot be read: {error}") from error


def _read_bounded(file: BinaryIO) -> bytes:
    return file.read(MAX_CONFIGURATION_BYTES + 1)


async def read_from_coordinator(address: str) -> bytes:
    """Return the text in force from a coordinator, or from the leader that it names.

    Raises
    ------
    NotReadError
        If it cannot be read in :data:`READ_TIMEOUT_S`.
    """
    url = f"http://{address}{names.GET_CONFIGURATION_PATH}"
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
    try:
        async with (
            asyncio.timeout(READ_TIMEOUT_S),
            aiohttp.ClientSession(
                timeout=timeout, raise_for_status=reject_invalid_status
            ) as session,
        ):
            for _ in range(MAX_REDIRECTS + 1):
                content = await _get(session, url)
                if isinstance(content, bytes):
                    return content
                url = content
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise NotReadError(f"{address}: {error!r}") from error
    raise NotReadError(f"{address}: more than {MAX_REDIRECTS} redirects, to {url}")


async def _get(session: aiohttp.ClientSession, url: str) -> bytes | str:
    """Return the body of a response, or the address to which it redirects."""
    async with session.get(url, allow_redirects=False) as response:
        if response.status == REDIRECT_STATUS:
            target = urljoin(url, response.headers.get("Location", ""))
            if urlsplit(target).scheme != "http":
                raise NotReadError(f"{url} redirects to {target[:200]}")
            return target
        data = bytearray()
        async for part in response.content.iter_any():
            data += part
            if len(data) > MAX_CONFIGURATION_BYTES:
                raise NotReadError(f"{url} sends over {MAX_CONFIGURATION_BYTES} bytes")
        if response.status != 200:
            text = data[:200].decode(errors="replace")
            raise NotReadError(f"{url} answers {response.status}: {text}")
        return bytes(data)


def _encode_json(report: Report) -> str:
    content = {
        "exit_code": report.exit_code,
        "errors": report.count(Severity.ERROR),
        "warnings": report.count(Severity.WARNING),
        "changes": report.count(Severity.CHANGE),
        "unchecked": report.unchecked,
        "findings": report.findings,
    }
    return msgspec.json.encode(content).decode(errors="replace") + "\n"


def _format(report: Report) -> str:
    lines = []
    for finding in report.findings:
        where = ".".join(part for part in (finding.place, finding.key) if part)
        remedy = "" if finding.remedy in finding.text else f"; {finding.remedy}"
        start = (
            f"{finding.severity.value}: {where}: "
            if where
            else (f"{finding.severity.value}: ")
        )
        lines.append(_escape(f"{start}{finding.text}{remedy}"))
    if report.unchecked:
        lines.append(_escape(f"not checked: {report.unchecked}"))
    counts = ", ".join(
        f"{severity.value}s: {report.count(severity)}" for severity in Severity
    )
    return "\n".join([*lines, counts]) + "\n"


def _escape(text: str) -> str:
    """Return a text in one line, without characters that control a terminal."""
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text)


def _print_safely(text: str) -> None:
    """Print a text, with escapes for characters that the output cannot show."""
    if isinstance(sys.stdout, io.TextIOWrapper):
        sys.stdout.reconfigure(errors="backslashreplace")
    print(text, end="", flush=True)
