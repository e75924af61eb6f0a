"""Settings files in a CUE-like language of typed records: parsing, unification and checks.

    parser, tree_builder    parse text into the syntax tree of `syntax` (lark)
    resolver                resolves references and collects the constraints on each key in `value_tree`
    choices, scalars        select the option of a choice; unify single values, kinds and bounds (`values`)
    unifier                 evaluates the value of each key to plain data
    reader, consistency     convert files to the typed record of `records` (msgspec), with all checks
    isolated_reader         runs `reader` in a separate, short-lived process

This module imports nothing: lark and msgspec take some 15 MB, and a server needs only 25 MB. A server
therefore uses `isolated_reader`, which reads the files in another process.
"""
