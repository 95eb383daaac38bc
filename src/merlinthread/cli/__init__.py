"""`merlinthread`, the command line tool for operators; all changes are made through bundles."""
