"""The users' platform: all that translates between its names and the product's, and nothing else.

Nothing outside this package knows the names in it; it decides nothing and holds no state.
"""
