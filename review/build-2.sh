#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are Python
# and use the packages of the deploy file's build, so they are only compiled.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'EOF'
import importlib
import sys

sys.path.insert(0, ".")
for name in (
    "standins.appserver",
    "standins.httpd",
    "standins.keyranges",
    "standins.platformcluster",
    "standins.ports",
    "standins.rowstore",
    "review.shared2.deployment",
    "review.shared2.memory",
    "review.shared2.overlaps",
    "review.shared2.proxy",
):
    importlib.import_module(name)
print("stand-ins import")
EOF
