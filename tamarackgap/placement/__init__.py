"""Slots of keys: stored records, current owners, load and placement."""
