"""The loop around ``Router``: tells it what happens, and carries out what it decides.

:mod:`.ports` is the seam to fronts and engines, :mod:`.request_lifecycle` one request without I/O, :mod:`.core` the one
place where events meet the router, :mod:`.request_runner` the thread that runs one request.
Inputs: an ``InferenceRequest`` from a front, attempt events from engines, server lists.  Outputs: pieces and one final
answer.
Must not depend on: HTTP, JSON, the chat API or the engines' protocol.
"""
