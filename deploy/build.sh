#!/usr/bin/env bash
# Install the pinned libraries and the compiled package into target/; writes nothing elsewhere.
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
# Replace target/app only if the package has changed, since processes may be running from it.
if ! diff -rq --exclude=__pycache__ src/merlinthread target/app/merlinthread >/dev/null 2>&1; then
    rm -rf target/app.new target/app.old
    mkdir -p target/app.new
    cp -r src/merlinthread target/app.new/merlinthread
    # The log of a process names the digest, which tells an old build from a new one.
    find src/merlinthread -name '*.py' -print0 | LC_ALL=C sort -z | xargs -0 sha256sum \
        | sha256sum | cut -c 1-12 > target/app.new/build.txt
    python3 -m compileall -q target/app.new
    if [ -e target/app ]; then
        mv target/app target/app.old
    fi
    mv target/app.new target/app
fi
