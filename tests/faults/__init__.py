"""Randomized soak of the daemon: real processes, faults from outside them."""
