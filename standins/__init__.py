"""Stand-ins for the platform and the targets, for tests, demos and benchmarks.

A stand-in is a simulation of a service. The product never imports this package.
"""
