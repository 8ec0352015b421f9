"""The processes: their parts put together, started and ended."""
