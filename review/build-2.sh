#!/bin/sh
# Builds every stand-in that the scripts of cases 6 to 10 start.  They are Python files of the standard library, run by
# the interpreter that the build of the deploy file leaves in .venv: this only checks that they are there and compile.
set -eu
cd "$(dirname "$0")/.."
python=.venv/bin/python
[ -x "$python" ] || { echo "build-2: $python is missing: run the build of deploy/balancer.toml first" >&2; exit 1; }
for file in review/rig2.py review/[0-9]*/play.py review/[0-9]*/bad_clients.py; do
    case $file in
        */\**) continue ;;
    esac
    "$python" -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
