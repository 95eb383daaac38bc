"""Network transports: pynng sockets, CherryPy and urllib3 HTTP, and HTTP/1.1 over asyncio."""
