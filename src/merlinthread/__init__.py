"""Distribute model weights to many VMs and share inference engines fairly among accounts."""

__version__ = "0.1.0"
