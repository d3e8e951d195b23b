"""Tracing of requests through the logs of hosts."""
