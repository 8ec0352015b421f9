"""The protocol by which each key has at most one owner, without I/O."""
