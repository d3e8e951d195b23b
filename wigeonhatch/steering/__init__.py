"""Splits, shift steps, spillover and lookup responses."""
