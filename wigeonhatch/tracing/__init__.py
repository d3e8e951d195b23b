"""What the logs of hosts tell of one request."""
