"""Clients for the platform, engines and services, and the peer protocol."""
