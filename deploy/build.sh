#!/bin/sh
# What `build` in balancer.toml does: leaves in .venv all that `run` and `sim` need.  From the repository's root, as an
# ordinary user, as often as one likes.  A .venv that is half made or of another interpreter is made anew; the stamp is
# written last, so that a build that was cut off is not taken for a whole one.
set -u
wanted='import sys; sys.exit(sys.version_info < (3, 11))'
stamp=.venv/requirements.installed

fail() {
    printf 'build: %s\n' "$*" >&2
    exit 1
}

python3 -c "$wanted" || fail "python3: found $(python3 --version 2>&1 || true); allowed: 3.11 or newer"

# What the .venv was made by and from: another interpreter or other requirements make it stale.
built=$(python3 -c 'import sys; print(sys.version, sys.base_prefix)') || fail "python3 does not start"
built="$built
$(cat requirements.txt)" || fail "requirements.txt: not found; build runs from the repository's root"

if [ "$built" != "$(cat "$stamp" 2>/dev/null)" ]; then
    if ! .venv/bin/python -c "import pip; $wanted" 2>/dev/null; then
        rm -rf .venv || fail ".venv: can't be replaced; allowed: a folder that this user may write"
        python3 -m venv .venv || fail ".venv: can't be made (python3 -m venv); is the folder writable, python3-venv there?"
    fi
    .venv/bin/python -m pip -q --disable-pip-version-check install -r requirements.txt ||
        fail "the packages in requirements.txt could not be installed: no package index reached, or none that has them"
    printf '%s\n' "$built" > "$stamp" || fail "$stamp: can't be written"
fi
.venv/bin/python -c 'import click, msgspec, prometheus_client' ||
    fail "click, msgspec and prometheus-client are installed and can't be loaded"
.venv/bin/python -m compileall -q stonetrack || fail "stonetrack can't be compiled"
