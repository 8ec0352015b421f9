#!/usr/bin/env bash
# Builds what the cases 11 to 15 start: the project's stand-ins and their own.
# Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q standins review/shared3 || exit 1
python3 -c 'import review.shared3.cluster' || exit 1
