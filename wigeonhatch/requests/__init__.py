"""Path of one request through an entry host."""
