import asyncio
import copy
import io
import json
import subprocess
import sys
import types

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tarragonway.operator import validate
from tarragonway.operator.cli import run
from tarragonway.operator.validate import (
    NotReadError,
    read_from_coordinator,
    validate_text,
)
from tarragonway.platform import names
from tarragonway.platform.configuration import decode_submitted
from tarragonway.platform.tests.test_configuration import FULL_TEXT, TEXT
from tarragonway.routes.model import MAX_CONFIGURATION_BYTES, ConfigurationError
from tarragonway.validation import RetryBounds, Severity

RETRIES = RetryBounds()
PROGRAM = "from tarragonway.operator.cli import main; main()"


def encode(**changes):
    """Return a text without findings, with other values for some of its keys."""
    text = copy.deepcopy(TEXT)
    text["tenants"][0].update(burst=5)
    return msgspec.json.encode(text | changes)


CLEAN = encode()
WARNED = encode(services=[*TEXT["services"], {"name": "unused"}])
INVALID = encode(version="x")


def is_valid(data):
    return not validate_text(data, None, RETRIES).count(Severity.ERROR)


def is_accepted(data):
    try:
        decode_submitted(data)
    except ConfigurationError:
        return False
    return True


def list_paths(value, path=()):
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        yield (*path, key)
        if isinstance(item, dict | list):
            yield from list_paths(item, (*path, key))


PATHS = list(list_paths(FULL_TEXT))
ODD_VALUES = st.sampled_from(
    [None, 0, -1, 1.5, 10**31, 10**120, 1e308, "", "x\n", "odd", "/a/", "k1", "s", "u",
     True, [], {}, [{"service": "s", "weight": 0}], [{"service": "s", "weight": -1}],
     {"a": -1}],
)  # fmt: skip


@st.composite
def draw_texts(draw):
    """Return a text with some other or missing values, whole or cut."""
    text = copy.deepcopy(FULL_TEXT)
    for *parents, last in draw(st.lists(st.sampled_from(PATHS), max_size=4)):
        part = text
        for key in parents:
            part = part[key] if _has(part, key) else None
        if not _has(part, last):
            continue
        if draw(st.booleans()):
            part[last] = copy.deepcopy(draw(ODD_VALUES))
        else:
            del part[last]
    data = msgspec.json.encode(text)
    if draw(st.integers(0, 9)) == 0:
        data = data[: draw(st.integers(0, len(data)))]
    return data


def _has(part, key):
    if isinstance(part, dict):
        return key in part
    return isinstance(part, list) and isinstance(key, int) and key < len(part)


# Guards against a text that is valid here and a coordinator rejects, or the reverse.
@settings(max_examples=500, deadline=None)
@given(draw_texts() | st.binary(max_size=30))
@example(msgspec.json.encode(FULL_TEXT))
@example(b"[" * 5000)
@example(b'{"version": ' + b"9" * 5000 + b', "routes": [], "services": []}')
@example(b'{"version": 1, "routes": [], "services": [], "x": ' + b"[" * 5000)
def test_text_is_valid_exactly_if_it_is_accepted(data):
    assert is_valid(data) == is_accepted(data)


# Guards against a text that the coordinator's interface refuses for its length.
def test_text_over_the_longest_body_is_an_error():
    text = CLEAN + b" " * MAX_CONFIGURATION_BYTES
    assert is_valid(text[:MAX_CONFIGURATION_BYTES])
    assert not is_valid(text[: MAX_CONFIGURATION_BYTES + 1])


@pytest.fixture
def write(tmp_path):
    def write(data, name="file.json"):
        path = tmp_path / name
        path.write_bytes(data)
        return str(path)

    return write


@pytest.mark.parametrize(
    ("data", "code"), [(CLEAN, 0), (WARNED, 1), (INVALID, 2), (CLEAN[:-9], 2), (b"", 2)]
)
@pytest.mark.parametrize("options", [[], ["--json"]])
def test_exit_code_is_that_of_the_worst_finding(write, capsys, data, code, options):
    assert run(["validate", write(data), *options]) == code
    output = capsys.readouterr().out
    if options:
        content = json.loads(output)
        assert content["exit_code"] == code
        assert (content["errors"], content["warnings"]) == (code == 2, code == 1)
        assert all(finding["remedy"] for finding in content["findings"])
    else:
        assert output.endswith(f"errors: {code == 2:d}, warnings: {code == 1:d}, "
                               "changes: 0\n")  # fmt: skip


def test_differences_are_printed_and_do_not_change_the_exit_code(write, capsys):
    new = encode(version=8, services=[{"name": "s", "max_conns": 4}, {"name": "t"}])
    against = write(CLEAN, "in_force.json")
    assert run(["validate", write(new), "--against", against]) == 0
    output = capsys.readouterr().out
    assert "change: services[0].max_conns: service s: connections" in output


# Guards against a validation that seems complete although a part could not be done.
@pytest.mark.parametrize(
    ("data", "in_force", "code"),
    [(CLEAN, None, 3), (WARNED, INVALID, 3), (INVALID, None, 2), (None, CLEAN, 3)],
)
def test_what_cannot_be_read_is_not_checked(write, capsys, data, in_force, code):
    file = write(data) if data is not None else "missing\0file"
    against = write(in_force, "in_force") if in_force is not None else "missing"
    assert run(["validate", file, "--against", against]) == code
    output = capsys.readouterr().out
    assert ("not checked: " in output) == (data != INVALID or in_force is None)


def test_wrong_usage_does_not_look_like_errors_of_a_text(capsys):
    for options in (
        [],
        ["f", "--odd"],
        ["f", "--against", "a", "--coordinator", "b:1"],
    ):
        with pytest.raises(SystemExit) as caught:
            run(["validate", *options])
        assert caught.value.code == 3
    with pytest.raises(SystemExit) as caught:
        run(["check"])
    assert caught.value.code == 2


def test_text_is_read_from_standard_input(monkeypatch, capsys):
    stdin = types.SimpleNamespace(buffer=io.BytesIO(WARNED))
    monkeypatch.setattr(sys, "stdin", stdin)
    assert run(["validate", "-"]) == 1
    monkeypatch.setattr(sys, "stdin", None)
    assert run(["validate", "-"]) == 3


# Guards against names that control the operator's terminal, or that it cannot show.
def test_odd_names_are_escaped(write):
    routes = [{**TEXT["routes"][0], "name": "r\x1b[2J\u202e\u4e2d\n", "timeout_ms": 1}]
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM, "validate", write(encode(routes=routes))],
        capture_output=True, env={"PYTHONIOENCODING": "ascii"}, check=False,
    )  # fmt: skip
    assert result.returncode == 2, result.stderr
    assert b"\x1b" not in result.stdout
    assert b"r\\x1b[2J\\u202e\\u4e2d\\n" in result.stdout


# Guards against an exit code of 1, which means warnings, for findings that were lost.
def test_output_that_cannot_be_written_is_not_checked(write):
    command = [sys.executable, "-c", PROGRAM, "validate", write(CLEAN)]
    with open("/dev/full", "wb") as full:
        result = subprocess.run(
            command, stdout=full, stderr=subprocess.PIPE, check=False
        )
    assert result.returncode == 3
    assert b"Traceback" not in result.stderr
    assert b"cannot be written" in result.stderr


class Coordinator:
    """Answers each call with the next response, and records the paths."""

    def __init__(self, *responses) -> None:
        self.responses = list(responses)
        self.lines = []

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.lines.append(head.split(b"\r\n")[0])
        writer.write(self.responses.pop(0))
        writer.close()


def respond(status, body=b"{}", extra=""):
    head = f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def read(port, *responses):
    coordinator = Coordinator(*responses)
    async with await asyncio.start_server(coordinator.serve, "127.0.0.1", port):
        text = await read_from_coordinator(f"127.0.0.1:{port}")
    return text, coordinator.lines


async def test_version_in_force_is_read_from_the_leader(unused_tcp_port):
    redirect = respond(307, extra=f"Location: http://127.0.0.1:{unused_tcp_port}/b\r\n")
    responses = (redirect, redirect, respond(200, CLEAN))
    text, lines = await read(unused_tcp_port, *responses)
    assert text == CLEAN
    assert lines == [
        b"GET %s HTTP/1.1" % names.GET_CONFIGURATION_PATH.encode(),
        b"GET /b HTTP/1.1",
        b"GET /b HTTP/1.1",
    ]


# Guards against a wait without end, a file that is read as an address, and an error
# text that is compared as a configuration.
@pytest.mark.parametrize(
    "responses",
    [
        [respond(307, extra="Location: /b\r\n")] * 3,
        [respond(307)],
        [respond(307, extra="Location: file:///etc/hosts\r\n")],
        [respond(503, b'{"error": "no leader is known"}')],
        [respond("600")],
        [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"],
        [respond(200, b" " * (MAX_CONFIGURATION_BYTES + 1))],
        [b""],
    ],
)
async def test_coordinator_without_a_text_is_not_compared(unused_tcp_port, responses):
    with pytest.raises(NotReadError):
        await read(unused_tcp_port, *responses, *[respond(404)] * 2)


@pytest.mark.parametrize(
    "address", ["127.0.0.1:1", "", "a b", "h:99999", "[::1", "\0:1"]
)
async def test_address_that_cannot_be_used_is_not_compared(address, monkeypatch):
    monkeypatch.setattr(validate, "READ_TIMEOUT_S", 1.0)
    with pytest.raises(NotReadError):
        await read_from_coordinator(address)
