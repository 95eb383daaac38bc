"""Messages between processes, their codec, the formats at the border, and answers to errors."""
