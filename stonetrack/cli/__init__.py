"""The command line, by Click: ``stonetrack COMMAND``.

One module per group of commands.
Inputs: arguments and files.
Outputs: exit codes (0 success, 1 failed check, 2 wrong usage or settings) and text; ``ready URL`` on a line of its own
once a service accepts connections.
Must not depend on: decisions of any kind.
"""
