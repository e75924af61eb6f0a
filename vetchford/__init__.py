"""Admission control and request scheduling for servers behind third-party load balancers."""

__version__ = "0.2.0"
