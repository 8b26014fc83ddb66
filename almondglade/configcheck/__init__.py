"""Check of an operator's configuration before it is sent.

`drafts` has its types, `findings` and `changes` the decisions;
`almondglade.platform.draftreader` reads the file.
"""
