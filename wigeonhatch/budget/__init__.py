"""Slots of targets, leases on them and admission of requests."""
