#!/usr/bin/env bash
# Puts the libraries and the code that the daemon runs into target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! target/deps/.installed -nt deploy/requirements.lock ]; then
    python3 -m pip install --quiet --no-warn-conflicts --root-user-action=ignore --upgrade --target target/deps \
        --require-hashes -r deploy/requirements.lock
    touch target/deps/.installed
fi
rm -rf target/deps/sesamespindle
mkdir -p target/deps/sesamespindle
for package in decide declare wire daemon; do
    cp -r "packages/$package/sesamespindle/." target/deps/sesamespindle/
done
cp -r platform/sesamespindle/. target/deps/sesamespindle/
python3 -m compileall -q target/deps/sesamespindle
