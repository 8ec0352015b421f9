"""Shared parts of the cases 11 to 15."""
