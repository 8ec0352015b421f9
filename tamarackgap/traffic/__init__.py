"""Routes requests from callers to the targets that run them."""
