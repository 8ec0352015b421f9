"""The protocol that gives each key at most one owner, without any I/O."""
