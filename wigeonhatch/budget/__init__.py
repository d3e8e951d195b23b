"""Admission of requests to targets."""
