"""The language of our settings files: CUE-like typed records, read into one checked record.

    parser, tree_builder    text to the syntax tree of `syntax` (lark)
    resolver                references, and all that records say of a key, as the tree of `value_tree`
    choices, scalars        which option of a choice holds; single values, kinds and bounds (`values`)
    unifier                 the value of each key, as plain data
    reader, consistency     all of it: files to the typed record of `records` (msgspec)
    isolated_reader         the same in a process that ends

Nothing is imported here: lark and msgspec take some 15 MB, and a server holds 25. So a server uses
`isolated_reader`, which has the files read by another process.
"""
