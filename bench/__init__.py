"""Measurements: slopes for the capacity page."""
