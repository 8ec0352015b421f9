"""Randomized soak test: real routers under faults injected from outside."""
