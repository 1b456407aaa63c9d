#!/bin/sh
# Checks that the stand-ins of cases 6 to 10 can be loaded; Python needs no build.
# The programs' libraries come from the build of deploy/system.toml (target/deps).
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD/target/deps:$PWD/review/harness2" PYTHONDONTWRITEBYTECODE=1
python3 -c "import h11, msgspec, structlog, xxhash" || exit 1
exec python3 -c "import configuration, replica, web, world"
