"""Map from client blocks to sites."""
