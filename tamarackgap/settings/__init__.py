"""Defines the settings and reads settings files."""
