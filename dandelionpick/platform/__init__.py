"""Adapters for the users' platform; they translate messages only."""
