"""Benchmarks. Figures are compared within one run and written as CSV."""
