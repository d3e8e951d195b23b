"""Mapping from client blocks to sites."""
