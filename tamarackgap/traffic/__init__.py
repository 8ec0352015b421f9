"""Requests on their way: in from callers, to a daemon, to its target."""
