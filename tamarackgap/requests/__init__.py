"""Handles requests that come through the product's own HTTP interface."""
