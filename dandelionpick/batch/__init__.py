"""Scheduling of jobs that run for longer than a caller waits.

One instance, the scheduler, decides which task starts on which target. The
others accept jobs into the store and relay questions to it.
"""
