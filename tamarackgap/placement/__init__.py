"""Slots of keys: rows about them, where they are, where they should go."""
