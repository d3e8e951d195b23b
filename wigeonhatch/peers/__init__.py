"""Protocol between entry hosts."""
