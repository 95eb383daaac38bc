"""Messages between processes, their codec, external file and HTTP formats, error responses."""
