"""`merlinthread`: the operators' command line. It drives the system only through the bundle."""
