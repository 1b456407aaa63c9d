import ast
import pathlib
import re
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[3]
# Distributions whose modules have another name: none at present.
REQUIRED = {
    re.split("[=<>]", line)[0]
    for line in (ROOT / "requirements.txt").read_text().split()
}
# Packages that gateways and coordinators run on a platform, where only the packages of
# requirements.txt are installed.
PACKAGES = (
    "capacity", "coordinator", "gateway", "hedging", "http1", "links", "overload",
    "pace", "platform", "quotas", "rollouts", "routing",
)  # fmt: skip


def list_imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names):
                yield from (alias.name for alias in names)
            case ast.ImportFrom(module, _, 0):
                yield module


# Guards against a module that is imported only once a feature is on, and is not
# installed then: with hedging on, each repeatable request failed.
@pytest.mark.parametrize("package", PACKAGES)
def test_imported_packages_are_installed_on_the_platform(package):
    names = {
        name.partition(".")[0]
        for path in (ROOT / "tarragonway" / package).glob("*.py")
        for name in list_imports(path)
    }
    assert names <= REQUIRED | set(sys.stdlib_module_names) | {"tarragonway"}
