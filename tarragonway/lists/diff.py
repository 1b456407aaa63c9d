"""Differences between two versions of the lists."""

import difflib


def compute_diff(name: str, before: str, after: str) -> str:
    r"""Return the unified diff of one list, empty if the texts are equal.

    Examples
    --------
    >>> print(compute_diff("p.toml", "a = 1\n", "a = 2\n"), end="")
    --- p.toml (in force)
    +++ p.toml (new)
    @@ -1 +1 @@
    -a = 1
    +a = 2
    """
    lines = difflib.unified_diff(
        before.splitlines(keepends=True),
        after.splitlines(keepends=True),
        f"{name} (in force)",
        f"{name} (new)",
    )
    return "".join(line if line.endswith("\n") else line + "\n" for line in lines)
