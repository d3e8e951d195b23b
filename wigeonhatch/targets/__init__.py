"""HTTP client, health probes and registry of targets."""
