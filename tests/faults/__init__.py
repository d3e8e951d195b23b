"""Randomized soak test of the daemon with injected external faults."""
