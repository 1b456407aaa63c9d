"""Prints the known failures, which do not make the test run fail."""

import pathlib

KNOWN_FAILURES_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def main() -> None:
    """Print every entry of KNOWN-RED.txt."""
    lines = KNOWN_FAILURES_PATH.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    print(f"known failures: {len(entries)}")
    for entry in entries:
        print(f"  {entry}")


if __name__ == "__main__":
    main()
