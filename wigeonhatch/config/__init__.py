"""Operators' configuration: model, merge, checks and differences."""
