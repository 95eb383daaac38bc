"""Test doubles for the systems that merlinthread talks to: engines, services, origin, platform."""
