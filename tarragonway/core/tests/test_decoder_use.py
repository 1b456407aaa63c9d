"""Bytes are decoded only through functions whose errors are known."""

import ast
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parents[2]
# The module that calls decoders.
DECODING = PACKAGE / "core" / "decoding.py"
# Parsers with more errors than their own, and the modules that may call them.
PARSERS = {
    "json.loads": (),
    "json.load": (),
    "tomllib.loads": (PACKAGE / "core" / "tomlfile.py",),
    "tomllib.load": (),
    "pickle.loads": (),
}
MODULES = [path for path in PACKAGE.rglob("*.py") if "tests" not in path.parts]


def list_violations(source, path):
    """Return the lines of direct calls of decoders, and of parsers."""
    calls = [node for node in ast.walk(ast.parse(source)) if isinstance(node, ast.Call)]
    return [
        f"{path.name}:{call.lineno}: {ast.unparse(call)[:80]}"
        for call in calls
        if path not in PARSERS.get(ast.unparse(call.func), (path,))
        or (path != DECODING and is_decoder_call(call))
    ]


def is_decoder_call(call):
    """Return whether a call decodes more than the text of bytes.

    Text is decoded with an encoding that has a character for each byte, with errors
    handled, from ASCII that a parser has checked, or right after it was encoded.
    """
    if not (isinstance(call.func, ast.Attribute) and call.func.attr == "decode"):
        return False
    receiver = call.func.value
    if isinstance(receiver, ast.Call) and not call.args:
        return not ast.unparse(receiver.func).endswith(("encode", "format"))
    arguments = [ast.unparse(argument) for argument in call.args]
    handles_errors = any(keyword.arg == "errors" for keyword in call.keywords)
    texts = (["'latin-1'"], ["'ascii'"], ["'utf-8'", "'surrogateescape'"])
    return not (arguments in texts or (not arguments and handles_errors))


# Guards against a decoder whose other errors end a process, a link or a connection.
@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.name))
def test_module_calls_no_decoder_directly(path):
    assert not list_violations(path.read_text(encoding="utf-8"), path)


@pytest.mark.parametrize(
    ("source", "is_allowed"),
    [
        ("_decoder.decode(body)", False),
        ("msgspec.json.decode(body, type=int)", False),
        ("msgspec.msgpack.decode(body)", False),
        ("self._decoder.decode(body)", False),
        ("body.decode()", False),
        ("body.decode('utf-8')", False),
        ("make_decoder().decode(body)", False),
        ("json.loads(body)", False),
        ("tomllib.loads(text)", False),
        ("body.decode('latin-1')", True),
        ("body.decode(errors='replace')", True),
        ("msgspec.json.encode(body).decode()", True),
        ("decode_json(decoder, body)", True),
    ],
)
def test_direct_calls_are_found(source, is_allowed):
    assert (not list_violations(source, PACKAGE / "module.py")) is is_allowed
