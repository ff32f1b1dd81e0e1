"""The decision logic of sesamespindle: pure, deterministic and without I/O."""
