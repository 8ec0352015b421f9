"""Describes the environment of the process, for `tamarackgap debug`."""

import importlib.metadata
import os
import platform
import resource
import sys

import msgspec

import tamarackgap
from tamarackgap.settings import config

_LIBRARIES = (
    "aioprometheus",
    "circuits",
    "click",
    "eliot",
    "httptools",
    "msgspec",
    "pyzmq",
    "returns",
    "xxhash",
)


class Environment(msgspec.Struct, frozen=True):
    """Holds versions, limits and settings that help to find a fault.

    Attributes:
        version: Version of this package.
        python: Version of Python.
        system: Operating system.
        cores: Cores that this process may use.
        open_files: Largest number of files that the process may have open.
        libraries: Version of each library, or "missing".
        settings: Value of each setting; empty if no file was given.
    """

    version: str
    python: str
    system: str
    cores: int
    open_files: int
    libraries: dict[str, str]
    settings: dict[str, str]


def _version(library: str) -> str:
    try:
        return importlib.metadata.version(library)
    except importlib.metadata.PackageNotFoundError:
        return "missing"


def describe_environment(settings: config.Config | None) -> Environment:
    """Returns the environment of this process.

    Args:
        settings: The settings to include, or None.
    """
    values = msgspec.to_builtins(settings) if settings is not None else {}
    return Environment(
        version=tamarackgap.__version__,
        python=sys.version.split()[0],
        system=f"{platform.system()} {platform.release()}",
        cores=len(os.sched_getaffinity(0)),
        open_files=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        libraries={name: _version(name) for name in _LIBRARIES},
        settings={name: str(value) for name, value in values.items()},
    )
