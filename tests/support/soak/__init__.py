"""A randomized soak: real daemons, faults from outside, and a checker.

The checker sees only what callers and targets have recorded, and when which
fault was in force.
"""
