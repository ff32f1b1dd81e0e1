#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=../../target/deps:../../target/review
# Without the two builds the case can't run.
python3 -c 'import fleet' || exit 2
exec python3 case.py
