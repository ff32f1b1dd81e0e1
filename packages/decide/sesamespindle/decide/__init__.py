"""The decision logic of sesamespindle; it is deterministic and does no I/O."""
