"""Declarations and settings of sesamespindle: checked YAML."""
