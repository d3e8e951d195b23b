"""Measurements with bounds from the stated goals."""
