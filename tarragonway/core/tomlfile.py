"""Reading of TOML files into typed structures; errors name file, line and key."""

import pathlib
import re
import tomllib
from typing import TypeVar

import msgspec

from tarragonway.core.errors import SettingsError

T = TypeVar("T")

_TOML_LINE = re.compile(r"at line (\d+)")
_MESSAGE_PATH = re.compile(r"`\$\.?(?P<path>[^`]*)`")
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<name>[^`]+)`")


def read_toml(path: pathlib.Path, kind: type[T]) -> T:
    """Read ``path`` into ``kind``.

    Raises
    ------
    SettingsError
        If the file is missing, is not TOML, or does not fit ``kind``.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            str(path), f"cannot be read ({error})", "check the path and its permissions"
        ) from error
    return parse_toml(text, str(path), kind)


def parse_toml(text: str, name: str, kind: type[T]) -> T:
    """Parse TOML ``text`` into ``kind``; error messages name the file as ``name``.

    Raises
    ------
    SettingsError
        If the text is not TOML or does not fit ``kind``.
    """
    try:
        raw = tomllib.loads(text)
    except RecursionError as error:
        raise SettingsError(
            name, "is nested too deeply", "remove levels of arrays and tables"
        ) from error
    except ValueError as error:
        # Besides syntax errors, this is a number with too many digits.
        match = _TOML_LINE.search(str(error))
        line = int(match.group(1)) if match else 0
        raise SettingsError(
            name, f"is not valid TOML ({error})", "correct the syntax", line=line
        ) from error
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise _describe_validation(text, name, str(error)) from error


def _describe_validation(text: str, name: str, message: str) -> SettingsError:
    path_match = _MESSAGE_PATH.search(message)
    key = path_match.group("path") if path_match else ""
    problem = message.split(" - at ")[0]
    unknown = _UNKNOWN_FIELD.search(message)
    if unknown:
        key = f"{key}.{unknown.group('name')}".lstrip(".")
        remedy = "remove the key or correct its spelling"
    elif "missing required" in message:
        remedy = "add the key"
    else:
        remedy = "correct the value"
    return SettingsError(name, problem, remedy, key, find_line(text, key))


def find_line(text: str, key: str) -> int:
    r"""Return the line, from 1, of a dotted key such as ``service[1].kind``, or 0.

    If only the first parts of the key are found, the line of the last of them is
    returned.

    Examples
    --------
    >>> find_line('[a]\nx = 1\n[[b]]\ny = 2\n[[b]]\ny = 3\n', 'b[1].y')
    6
    """
    lines = text.splitlines()
    start = 0
    found = 0
    for part in [p for p in key.split(".") if p]:
        name, _, rest = part.partition("[")
        index = int(rest.rstrip("]")) if rest.rstrip("]").isdigit() else 0
        position = _find_part(lines, start, name, index)
        if position is None:
            return found
        found = position + 1
        start = position
    return found


def _find_part(lines: list[str], start: int, name: str, index: int) -> int | None:
    header = re.compile(rf"^\s*\[{{1,2}}(?:[\w.\-]+\.)?{re.escape(name)}\]{{1,2}}")
    assignment = re.compile(rf"^\s*[\"']?{re.escape(name)}[\"']?\s*=")
    seen = -1
    for position in range(start, len(lines)):
        if header.match(lines[position]) or assignment.match(lines[position]):
            seen += 1
            if seen == index:
                return position
    return None
