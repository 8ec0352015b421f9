import subprocess
import sys

# Only the daemon with this project's own HTTP interface needs these modules. In
# a router they would cost a fifth of its start time and megabytes of memory.
UNNEEDED_MODULES = (
    "circuits.web",
    "tamarackgap.requests.web",
    "click",
    "numpy",
)


def test_a_router_imports_no_modules_of_the_other_daemon():
    process = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, tamarackgap.platform.__main__; print(*sys.modules)",
        ],
        capture_output=True,
        check=True,
        text=True,
    )
    assert not set(UNNEEDED_MODULES) & set(process.stdout.split())
