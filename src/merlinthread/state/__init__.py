"""Persistent state: record files, the journal of the replicated log, and the chunk store."""
