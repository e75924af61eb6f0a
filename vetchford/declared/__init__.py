"""The form of our own settings: CUE-like typed records, read into one checked record.

Nothing is imported here. `vetchford.declared.reading` parses and checks (lark and msgspec, some 15 MB);
`vetchford.declared.apart` has that done by a process that ends, for a server that holds 25.
"""
