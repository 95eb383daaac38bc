"""Move model weights to many VMs in bursts and share the engines fairly among accounts."""

__version__ = "0.1.0"
