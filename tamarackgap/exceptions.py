"""Defines the errors that are shown to users or end a program."""


class TamarackgapError(Exception):
    """Base class of this package's own errors."""


class TableError(TamarackgapError):
    """The platform's table gave no usable answer."""


class ConflictError(TableError):
    """A row was changed by another writer in the meantime."""
