"""The command line, by Click: ``stonetrack COMMAND``.

One module a group of commands.  Inputs: arguments and files.  Outputs: exit codes (0 done, 1 a judged failure,
2 wrong use or settings) and text for people; ``ready URL`` on its own line where a program waits for it.
Must not depend on: decisions of any kind.
"""
