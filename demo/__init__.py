"""Starts both users' deployments on one machine and drives load."""
