"""Adapter to the users' platform: translates its HTTP interface and settings to internal types.

Names of the platform's interface occur only in this package, which is stateless and contains no
decision logic.
"""
