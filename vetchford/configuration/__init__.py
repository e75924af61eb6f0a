"""The form of our own settings: CUE-like typed records, read into one checked record.

Nothing is imported here. `vetchford.configuration.reader` parses and checks (lark and msgspec, some 15 MB);
`vetchford.configuration.isolated_reader` has that done by a process that ends, for a server that holds 25.
"""
