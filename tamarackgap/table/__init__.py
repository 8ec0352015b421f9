"""Reads and writes the platform's table service."""
