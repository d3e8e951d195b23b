"""Metrics of an entry host."""
