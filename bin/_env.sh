# Sourced by the other commands: enters the repository and makes its virtual
# environment once, so that later runs need no network.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
PYTHON="${PYTHON:-python3}"
ENVIRONMENT="${TARRAGONWAY_VENV:-.venv}"
STAMP="$ENVIRONMENT/installed.sha256"
WANTED="$(sha256sum pyproject.toml | cut -d' ' -f1) $PWD"
if [ ! -f "$STAMP" ] || [ "$(cat "$STAMP")" != "$WANTED" ]; then
    echo "setting up $ENVIRONMENT ..."
    "$PYTHON" -m venv "$ENVIRONMENT"
    "$ENVIRONMENT/bin/pip" install --quiet --disable-pip-version-check -e '.[dev]'
    echo "$WANTED" > "$STAMP"
fi
PATH="$PWD/$ENVIRONMENT/bin:$PATH"
export PATH
