"""Tools that run, test and measure a fleet on one machine.

The lab has stand-ins (small simulated servers) for the systems that the daemons
depend on: the platform, model engines, store hosts and plain services. It also has
a proxy that injects network faults, a launcher for a fleet of processes, and
benchmarks.
"""
