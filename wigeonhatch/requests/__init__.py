"""Handling of callers' requests on an entry host."""
