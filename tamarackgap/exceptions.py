"""Errors that reach a person or end a program."""


class TamarackgapError(Exception):
    """Base of all errors that this package raises."""


class ConfigError(TamarackgapError):
    """A settings file that cannot be used; the text names the place."""


class TableError(TamarackgapError):
    """The platform's table gave no usable answer."""


class ConflictError(TableError):
    """A row was changed by somebody else in the meantime."""


class PolicyError(TamarackgapError):
    """A row of the operators' table is out of range."""
