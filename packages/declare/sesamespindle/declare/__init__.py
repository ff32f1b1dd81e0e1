"""Reading and validating sesamespindle's declarations and settings from YAML."""
