"""Adapters of sesamespindle to the outside systems and to its peers."""
