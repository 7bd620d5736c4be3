"""Fencing tokens: a receiver remembers the latest leader whose effect it accepted and refuses older ones.

No clock protects against a leader that is stopped between its last look at the clock and its write.  So every effect
carries its leader's *token*, the term and the leader's identifier; a receiver keeps the highest token seen and refuses
older ones.  A second leader of the same term is refused too: it exists only if the store lost a write.  Where the
effect is durable the token must be on disk **before** the effect: a receiver that forgot the token at a restart would
accept effects of the old leader again.
"""

from __future__ import annotations

import re
from collections.abc import Callable

import msgspec

TOKEN_HEADER = "X-Stonetrack-Term"
_TOKEN = re.compile(r"([0-9]{1,18}) ([!-~]{1,200})")


class Token(msgspec.Struct, frozen=True):
    """The leader that an effect belongs to."""

    term: int
    owner: str

    def __str__(self) -> str:
        return f"{self.term} {self.owner}"


NO_TOKEN = Token(0, "")


class FencingError(Exception):
    """The receiver refuses an effect; ``known`` is its latest token."""

    def __init__(self, text: str, known: Token) -> None:
        super().__init__(text)
        self.known = known


class Fence:
    """The fence of one receiver for one resource; ``known`` is the token that was stored.

    While no token was ever seen, effects without one are accepted: a fleet without a controller has no tokens.
    """

    def __init__(self, what: str, known: Token = NO_TOKEN) -> None:
        self.what, self.known = what, known

    def check(self, token: Token | None) -> None:
        """Raises FencingError unless an effect with this token may be applied."""
        known = self.known
        if token is None:
            if known.term:
                text = (
                    f"{self.what}: belongs to {known.owner}, term {known.term}; {TOKEN_HEADER}: TERM OWNER is asked for"
                )
                raise FencingError(text, known)
        elif token.term < max(1, known.term):
            text = f"{self.what}: term {token.term} of {token.owner} is over, {known.term} of {known.owner} has begun"
            raise FencingError(text, known)
        elif token.term == known.term and token.owner != known.owner:
            text = f"{self.what}: term {token.term} is {known.owner}'s, not {token.owner}'s: the register lost a write"
            raise FencingError(text, known)

    def admit(self, token: Token | None, persist: Callable[[Token], None] = lambda token: None) -> None:
        """Accept an effect, and from here on none older.  ``persist`` makes a new token durable first; what it raises
        leaves all as it was.  Raises FencingError."""
        self.check(token)
        if token is not None and token != self.known:
            persist(token)
            self.known = token


def parse_token(value: str) -> Token | None:
    """Parse the value of the header; None where it is empty.  Raises ValueError where it is malformed."""
    if not value:
        return None
    match = _TOKEN.fullmatch(value)
    if match is None:
        raise ValueError(f"{TOKEN_HEADER}: {value[:60]!r}; allowed: TERM OWNER, as in '7 s1/4fe2'")
    return Token(int(match.group(1)), match.group(2))
