"""What an error of a system call means for the one who made the call.  No I/O.

The table follows the ERRORS sections of Linux's manual pages accept(2), socket(2), connect(2), setsockopt(2), send(2),
recv(2), poll(2), close(2) and pthread_create(3).  Who calls asks :func:`meaning` and acts by it:

- ``LATER``: nothing is wrong; wait until the descriptor is ready, or make the call again.
- ``MACHINE``: this machine is short of something, for a moment.  The call is tried again within a bound; no peer is
  blamed, and a request whose attempt could not begin may go elsewhere.
- ``PEER``: the peer, or the way to it, has failed.
- ``DEFECT``: the program made a call that can't work.  It is never tried again in a loop.
"""

from __future__ import annotations

import errno
from enum import Enum


class SystemCall(Enum):
    """The system calls that the node's sockets need."""

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    OPTION = "setsockopt"
    SEND = "send"
    RECEIVE = "recv"
    POLL = "poll"
    CLOSE = "close"


class ErrorClass(Enum):
    """See the module."""

    RETRY = "not yet"
    LOCAL = "passing trouble of this machine"
    PEER = "trouble of the peer"
    DEFECT = "a programming error"


_LATER = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.EINPROGRESS)
_MACHINE = (
    errno.EMFILE,  # descriptors of this process
    errno.ENFILE,  # descriptors of this machine
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,  # no free local port
    errno.ENETDOWN,
    errno.ENETUNREACH,  # no route from here
    errno.EACCES,  # a local firewall
    errno.EPERM,
    errno.EIO,
    errno.ENOSPC,  # epoll_ctl(2): the user's watches
)
_PEER = (
    errno.ECONNREFUSED,
    errno.ECONNRESET,
    errno.ECONNABORTED,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EPIPE,
    errno.ENOTCONN,
    errno.ESHUTDOWN,
    errno.EPROTO,
    errno.ENOPROTOOPT,
)
_GENERAL: dict[int, ErrorClass] = {
    **dict.fromkeys(_LATER, ErrorClass.RETRY),
    **dict.fromkeys(_MACHINE, ErrorClass.LOCAL),
    **dict.fromkeys(_PEER, ErrorClass.PEER),
}
_OF_ONE_CALL: dict[tuple[SystemCall, int], ErrorClass] = {
    # accept(2): errors that were pending on the new connection are given by the call; the next one is not concerned.
    (SystemCall.ACCEPT, errno.ENETDOWN): ErrorClass.PEER,
    (SystemCall.ACCEPT, errno.ENETUNREACH): ErrorClass.PEER,
    (SystemCall.ACCEPT, errno.EOPNOTSUPP): ErrorClass.PEER,
    (SystemCall.ACCEPT, errno.EPERM): ErrorClass.PEER,
    # connect(2): no free local port, or no entry in the routing cache.
    (SystemCall.CONNECT, errno.EAGAIN): ErrorClass.LOCAL,
    # On a connection that stood, a lost route is the connection's end like any other.
    (SystemCall.SEND, errno.ENETDOWN): ErrorClass.PEER,
    (SystemCall.SEND, errno.ENETUNREACH): ErrorClass.PEER,
    (SystemCall.RECEIVE, errno.ENETDOWN): ErrorClass.PEER,
    (SystemCall.RECEIVE, errno.ENETUNREACH): ErrorClass.PEER,
    # A connection that was reset before it was looked at takes no options any more.
    (SystemCall.OPTION, errno.EINVAL): ErrorClass.PEER,
}


def classify_error(call: SystemCall, error: OSError) -> ErrorClass:
    """What an error of a call means.  A time-out without a number is the peer's silence."""
    code = error.errno
    if code is None:
        return ErrorClass.PEER if isinstance(error, (TimeoutError, ConnectionError)) else ErrorClass.DEFECT
    found = _OF_ONE_CALL.get((call, code))
    return found or _GENERAL.get(code, ErrorClass.DEFECT)
