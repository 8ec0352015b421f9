"""A request's way through the daemon of the product's own interface."""
