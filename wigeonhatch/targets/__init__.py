"""Clients, health and drains of targets."""
