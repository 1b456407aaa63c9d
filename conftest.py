"""Marks the tests that KNOWN-RED.txt lists as expected failures, and no others."""

import pathlib

import pytest

_KNOWN_FAILURES_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def _read_known_failures() -> dict[str, str]:
    known = {}
    for line in _KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines():
        if line and not line.startswith("#"):
            test_id, _, rest = line.partition("|")
            known[test_id.strip()] = rest.strip()
    return known


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests; a listed test that passes is not an error."""
    known = _read_known_failures()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))
