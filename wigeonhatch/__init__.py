"""Global traffic steering for entry hosts without disks."""
