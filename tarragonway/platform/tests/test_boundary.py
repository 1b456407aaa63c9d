import pathlib
import re

import tarragonway

PACKAGE = pathlib.Path(tarragonway.__file__).parent
PLATFORM_NAMES = re.compile(
    r"tarragonway-(attempt|server|deadline|not|expected|prefix|token|duty|kv|pin|weight"
    r"|request|length|model|instance|tenant|fencing)"
    r"|Config\.(Replace|Read)|kv-(move|events|list|handle|pin|fetch|from)|hold-(take|drop)"
    r"|readyz|/replicas|path_prefix|route_kind|max_attempts\"|api_keys|zone_prices\""
    r"|server-limit|b\"resumes|cold_left_ms|leaves_ms|spot_price|window_id|uncached_tokens",
    re.IGNORECASE,
)
# The daemons, and the operators' command that reads the platform's format.
IMPORTERS = {"gateway/daemon.py", "coordinator/daemon.py", "operator/validate.py"}


def list_sources():
    for path in sorted(PACKAGE.rglob("*.py")):
        name = path.relative_to(PACKAGE).as_posix()
        if not name.startswith("platform/"):
            yield name, path.read_text(encoding="utf-8")


def test_names_of_the_platform_stay_in_the_adapter():
    found = [
        f"{name}:{number}: {line.strip()}"
        for name, text in list_sources()
        for number, line in enumerate(text.splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]
    assert not found


def test_only_programs_import_the_adapter():
    importers = {
        name
        for name, text in list_sources()
        if "tarragonway.platform" in text and "/tests/" not in name
    }
    assert importers == IMPORTERS


def test_lean_daemons_do_not_import_what_they_do_not_use():
    heavy = ("aiohttp", "pynng", "statsd")
    for name, text in list_sources():
        if name.split("/")[0] in ("gateway", "coordinator", "links", "http1", "node"):
            assert not any(f"import {module}" in text for module in heavy), name
