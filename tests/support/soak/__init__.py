"""A randomized soak test: real daemons, injected faults, and a checker.

The checker sees only what callers and targets have recorded, and the times at
which each fault began and ended.
"""
