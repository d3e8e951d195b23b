"""Small substitutes for outside systems, for tests and the demo."""
