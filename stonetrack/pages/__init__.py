"""What all report pages share, so that they look alike: style, tables, figures inside the page.

Inputs: rows and matplotlib figures.
Outputs: HTML and SVG text.
Must not depend on: what a page is about, files, sockets.
"""
