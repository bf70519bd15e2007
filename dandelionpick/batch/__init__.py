"""Scheduling of batch jobs, which run for longer than a caller waits.

One instance, the elected scheduler, decides which task starts on which target.
The other instances write accepted jobs to the store and relay queries to the
scheduler.
"""
