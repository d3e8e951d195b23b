"""Steering configuration: model, merge, validation and differences."""
