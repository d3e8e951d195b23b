"""Stand-ins for the platform, targets and callers of the review's scripts."""
