"""Provides sockets, timers and HTTP on the circuits event loop."""

import importlib
import sys

_SKIPPED_MODULE = "pkg_resources"


def _import_circuits() -> None:
    """Imports circuits without `pkg_resources`.

    circuits uses `pkg_resources` only to declare a namespace package, and works
    without it. Importing it takes a third of a daemon's start time and 5 MB.
    """
    if "circuits" in sys.modules or _SKIPPED_MODULE in sys.modules:
        return
    # None makes the import raise ImportError, which circuits handles.
    sys.modules[_SKIPPED_MODULE] = None
    try:
        importlib.import_module("circuits")
    finally:
        del sys.modules[_SKIPPED_MODULE]


_import_circuits()
