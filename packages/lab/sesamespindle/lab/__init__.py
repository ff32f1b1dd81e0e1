"""Stand-ins for the outside systems, a fault proxy, a launcher and a bench."""
