"""Errors that reach a person or end a program."""


class TamarackgapError(Exception):
    """Base of all errors that this package raises."""


class TableError(TamarackgapError):
    """The platform's table gave no usable answer."""


class ConflictError(TableError):
    """A row was changed by somebody else in the meantime."""
