"""Operator interface of an entry host."""
