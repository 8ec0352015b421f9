"""Runs both users' deployments on one host and puts them under load."""
