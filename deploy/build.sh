#!/usr/bin/env bash
# Lay the pinned libraries and the compiled package under target/; nothing else is written.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
if [ ! target/deps -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt
    touch target/deps
fi
rm -rf target/app
mkdir -p target/app
cp -r src/merlinthread target/app/merlinthread
python3 -m compileall -q target/app target/deps
