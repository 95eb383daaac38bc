#!/usr/bin/env bash
# Lay the pinned libraries and the compiled package under target/; nothing else is written.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
if [ ! target/deps -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt
    python3 -m compileall -q target/deps
    touch target/deps
fi
# Processes may be running from target/app: it is replaced only if the package has changed.
if ! diff -rq --exclude=__pycache__ src/merlinthread target/app/merlinthread >/dev/null 2>&1; then
    rm -rf target/app.new target/app.old
    mkdir -p target/app.new
    cp -r src/merlinthread target/app.new/merlinthread
    python3 -m compileall -q target/app.new
    if [ -e target/app ]; then
        mv target/app target/app.old
    fi
    mv target/app.new target/app
fi
