"""Durable state: record files, the journal of a replicated log, and the chunk store."""
