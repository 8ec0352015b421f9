"""Implements the commands of the command line."""
