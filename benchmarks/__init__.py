"""Benchmarks that compare their figures with the stated goals."""
