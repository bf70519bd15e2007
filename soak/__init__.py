"""A soak: real processes under random faults from outside."""
