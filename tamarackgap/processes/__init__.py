"""The two kinds of daemon processes: their components, start and shutdown."""
