"""Byte budgets between regions."""
