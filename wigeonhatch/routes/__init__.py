"""Routes of callers' requests to services."""
