"""The command line of sesamespindle, for operators and callers."""
