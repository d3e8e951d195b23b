"""Global traffic steering for diskless entry hosts."""
