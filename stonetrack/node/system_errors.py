"""Classification of system call errors by what the caller has to do.  No I/O.

The table follows the ERRORS sections of Linux's manual pages accept(2), socket(2), connect(2), setsockopt(2), send(2),
recv(2), poll(2), close(2) and pthread_create(3).  A caller asks :func:`classify_error` and acts on the class:

- ``RETRY``: nothing is wrong; wait until the descriptor is ready, or repeat the call.
- ``LOCAL``: a resource of this machine is exhausted for a moment.  The call is retried within a bound; no peer is
  blamed, and a request whose attempt could not begin may go elsewhere.
- ``PEER``: the peer, or the path to it, has failed.
- ``DEFECT``: the program made a call that can't work.  It is never retried in a loop.
"""

from __future__ import annotations

import errno
from enum import Enum


class SystemCall(Enum):
    """The system calls that the node's sockets use."""

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    OPTION = "setsockopt"
    SEND = "send"
    RECEIVE = "recv"
    POLL = "poll"
    CLOSE = "close"


class ErrorClass(Enum):
    """What an error requires of the caller, as listed at the head of this module."""

    RETRY = "not yet"
    LOCAL = "passing trouble of this machine"
    PEER = "trouble of the peer"
    DEFECT = "a programming error"


_RETRY = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.EINPROGRESS)
_LOCAL = (
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
_BY_CODE: dict[int, ErrorClass] = {
    **dict.fromkeys(_RETRY, ErrorClass.RETRY),
    **dict.fromkeys(_LOCAL, ErrorClass.LOCAL),
    **dict.fromkeys(_PEER, ErrorClass.PEER),
}
_BY_CALL: dict[tuple[SystemCall, int], ErrorClass] = {
    # accept(2) returns errors pending on the new connection; the next connection is not affected.
    (SystemCall.ACCEPT, errno.ENETDOWN): ErrorClass.PEER,
    (SystemCall.ACCEPT, errno.ENETUNREACH): ErrorClass.PEER,
    (SystemCall.ACCEPT, errno.EOPNOTSUPP): ErrorClass.PEER,
    (SystemCall.ACCEPT, errno.EPERM): ErrorClass.PEER,
    # connect(2): no free local port, or no entry in the routing cache.
    (SystemCall.CONNECT, errno.EAGAIN): ErrorClass.LOCAL,
    # On an established connection, a lost route ends the connection like any other failure.
    (SystemCall.SEND, errno.ENETDOWN): ErrorClass.PEER,
    (SystemCall.SEND, errno.ENETUNREACH): ErrorClass.PEER,
    (SystemCall.RECEIVE, errno.ENETDOWN): ErrorClass.PEER,
    (SystemCall.RECEIVE, errno.ENETUNREACH): ErrorClass.PEER,
    # A connection that was reset before it was handled accepts no options any more.
    (SystemCall.OPTION, errno.EINVAL): ErrorClass.PEER,
}


def classify_error(call: SystemCall, error: OSError) -> ErrorClass:
    """The class of an error of a call.  A timeout without an error number means that the peer is silent."""
    code = error.errno
    if code is None:
        return ErrorClass.PEER if isinstance(error, (TimeoutError, ConnectionError)) else ErrorClass.DEFECT
    by_call = _BY_CALL.get((call, code))
    return by_call or _BY_CODE.get(code, ErrorClass.DEFECT)
