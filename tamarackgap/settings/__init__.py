"""Settings: what there is, and how a file of them is read."""
