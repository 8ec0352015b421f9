"""Checks that a daemon does not import modules that cost time and memory."""

import subprocess
import sys

import pytest

IMPORT_DAEMON = "import sys; import tamarackgap.platform.__main__; "


@pytest.mark.parametrize("module", ["pkg_resources", "numpy", "matplotlib"])
def test_daemon_does_not_import(module):
    code = IMPORT_DAEMON + f"sys.exit({module!r} in sys.modules)"
    assert (
        subprocess.run([sys.executable, "-c", code], check=False).returncode
        == 0
    )
