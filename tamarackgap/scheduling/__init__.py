"""Decisions about calls under load, without input or output."""
