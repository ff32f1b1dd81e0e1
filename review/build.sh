#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review: those of this folder, and the
# stand-in of the platform's store from the project's tests. The build of the deploy
# file must have run before, since the stand-ins use its libraries in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
cp review/standins/*.py tests/support/standinstore.py "$out/"
PYTHONPATH=target/deps python3 -m compileall -q "$out"
PYTHONPATH=target/deps:$out python3 -c 'import fleet, standinstore'
