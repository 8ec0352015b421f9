#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They are Python, so
# this compiles them and checks that the deploy build has what they import.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q review standins
python3 -c "import standins.httpd, standins.rowstore, standins.ports"
python3 -c "import review.common.deployment, tamarackgap.platform"
