"""Sockets, timers and HTTP on one loop."""

import importlib
import sys

_OLD_SETUPTOOLS = "pkg_resources"


def _import_loop() -> None:
    """Imports circuits without what it only uses to declare a namespace.

    Where setuptools is installed, circuits imports its `pkg_resources`, which
    costs a third of a daemon's start and 5 MB. It does without where that
    can't be imported.
    """
    if "circuits" in sys.modules or _OLD_SETUPTOOLS in sys.modules:
        return
    sys.modules[_OLD_SETUPTOOLS] = None
    try:
        importlib.import_module("circuits")
    finally:
        del sys.modules[_OLD_SETUPTOOLS]


_import_loop()
