"""Specifications of the ownership protocol for the model checker."""
