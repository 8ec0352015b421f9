import subprocess
import sys

# What only the product's own interface needs: it costs each daemon of the
# platform a fifth of its start and megabytes of memory.
NEEDLESS = ("circuits.web", "tamarackgap.requests.web", "click", "numpy")


def test_a_router_imports_nothing_of_the_other_interface():
    listed = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, tamarackgap.platform.__main__; print(*sys.modules)",
        ],
        capture_output=True,
        check=True,
        text=True,
    )
    assert not set(NEEDLESS) & set(listed.stdout.split())
