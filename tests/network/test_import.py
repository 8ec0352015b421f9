"""What a daemon does not import, since it would cost start time and memory."""

import subprocess
import sys

import pytest

START = "import sys; import tamarackgap.platform.__main__; "


@pytest.mark.parametrize("name", ["pkg_resources", "numpy", "matplotlib"])
def test_a_daemon_starts_without(name):
    code = START + f"sys.exit({name!r} in sys.modules)"
    assert (
        subprocess.run([sys.executable, "-c", code], check=False).returncode
        == 0
    )
