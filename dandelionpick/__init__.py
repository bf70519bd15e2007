"""A scheduler for accelerator jobs and requests under guarantees."""

__version__ = "0.1.0"
