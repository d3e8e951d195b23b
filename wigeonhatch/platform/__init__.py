"""Access to the platform: table, object store and host list."""
