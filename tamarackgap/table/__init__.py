"""The table in which records last, as the product's own interface has it."""
