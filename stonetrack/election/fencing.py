"""What keeps an old owner's late effects out: the receiver remembers the latest owner it has taken an effect of.

No clock can save an owner that is stopped between its last look and its write.  So every effect carries its owner's
*token*, the term and the owner's name, and whoever takes effects keeps the highest seen and refuses what is older.  A
second owner of the same term is refused too: there is none unless the register lost a write.  Where the effect is
durable the token must be on disk **before** the effect is: a receiver that forgot it at a restart would take the old
owner's again.
"""

from __future__ import annotations

import re
from collections.abc import Callable

import msgspec

TOKEN_HEADER = "X-Stonetrack-Term"
_FORM = re.compile(r"([0-9]{1,18}) ([!-~]{1,200})")


class Token(msgspec.Struct, frozen=True):
    """Whose effect it is."""

    term: int
    owner: str

    def __str__(self) -> str:
        return f"{self.term} {self.owner}"


NO_TOKEN = Token(0, "")


class FencingError(Exception):
    """An effect that is not taken; ``known`` is the latest token there."""

    def __init__(self, text: str, known: Token) -> None:
        super().__init__(text)
        self.known = known


class Fence:
    """One receiver's, for one thing; ``known`` is the token that was kept.

    While no token was ever seen, effects without one are taken: a fleet without a steward has none.
    """

    def __init__(self, what: str, known: Token = NO_TOKEN) -> None:
        self.what, self.known = what, known

    def check(self, token: Token | None) -> None:
        """Raises FencingError."""
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
        """Take an effect, and from here on none older.  ``persist`` makes a new token durable first; what it raises
        leaves all as it was.  Raises FencingError."""
        self.check(token)
        if token is not None and token != self.known:
            persist(token)
            self.known = token


def parse_token(value: str) -> Token | None:
    """The token that a header's value gives; None for no header.  Raises ValueError for anything else."""
    if not value:
        return None
    found = _FORM.fullmatch(value)
    if found is None:
        raise ValueError(f"{TOKEN_HEADER}: {value[:60]!r}; allowed: TERM OWNER, as in '7 s1/4fe2'")
    return Token(int(found.group(1)), found.group(2))
