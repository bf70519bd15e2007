"""Speaks the users' platform: translates its messages, and decides nothing."""
