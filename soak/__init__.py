"""A randomized soak: real routers, with faults injected from outside."""
