"""Measurements, as ratios within one run; raw figures go to CSV."""
