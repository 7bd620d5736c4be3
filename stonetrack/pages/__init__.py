"""Common parts of all report pages: style sheet, tables and inline figures.

Inputs: rows and matplotlib figures.
Outputs: HTML and SVG text.
Must not depend on: the content of a page, files, sockets.
"""
