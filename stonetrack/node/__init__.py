"""The loop around ``Router``: passes events to it and carries out its decisions.

:mod:`.ports` has the interfaces to frontends and engines, :mod:`.request_lifecycle` the state machine of one request
without I/O, :mod:`.core` the single point where events reach the router, :mod:`.request_runner` the thread that runs
one request.
Inputs: an ``InferenceRequest`` from a frontend, attempt events from engines, server lists.  Outputs: parts of the
answer and one final answer.
Must not depend on: HTTP, JSON, the chat API or the engines' protocol.
"""
