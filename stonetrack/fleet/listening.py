"""Sockets that take a port of loopback and give it back, for what stands between or behind nodes under test."""

from __future__ import annotations

import contextlib
import socket


def bound(port: int = 0) -> socket.socket:
    """A socket that has a port of loopback and does not listen: another with the same option still may (socket(7))."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    return sock


def end_listening(sock: socket.socket) -> None:
    """Close a socket, and end its listening even where a process that was just forked still has it: its port could not
    be listened on again before that process has begun its program."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
