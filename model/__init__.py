"""A small specification of the ownership protocol, for model checking."""
