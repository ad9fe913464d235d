"""Parsing the operators' language with lark."""

import importlib.resources
import json

import attrs
import lark

from kumquatseam.errors import KumquatseamError
from kumquatseam.operators._statements import (
    Alter,
    Assignment,
    Commands,
    Condition,
    Create,
    Drop,
    LoadModel,
    Query,
    SetUpstreamState,
)
from kumquatseam.operators._subjects import SUBJECT_COLUMNS
from kumquatseam.settings import ACTIVE, DRAINING, ENTITY_KINDS, field_keys

_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


@attrs.define(frozen=True, eq=False)
class LanguageError(KumquatseamError):
    """A text is not a valid query or command; nothing was sent or changed.

    :param text: the text.
    :param column: position of the error, from 1.
    :param reason: what is wrong, in one short sentence.
    """

    text: str
    column: int
    reason: str

    def __str__(self) -> str:
        line = " ".join(self.text.split("\n"))
        pointer = " " * (self.column - 1) + "^"
        return f"operators: column {self.column}: {self.reason}\n{line}\n{pointer}"


@attrs.frozen
class _Word:
    """A name or value with its position, for error messages."""

    text: str
    column: int


class _InvalidWordError(Exception):
    """A name is syntactically valid but unknown."""

    def __init__(self, word: _Word, reason: str) -> None:
        super().__init__(reason)
        self.word = word
        self.reason = reason


class _StatementBuilder(lark.Transformer):
    """Builds statements from the parse tree and checks the names in them.

    The methods are named after the rules of ``language.lark``.
    """

    def start(self, children):
        return children[0]

    def value(self, children):
        token = children[0]
        text = json.loads(token) if token.type == "ESCAPED_STRING" else str(token)
        return _Word(text, token.start_pos + 1)

    def values(self, children):
        return tuple(word.text for word in children)

    def assignment(self, children):
        key, texts = children
        return _Word(str(key), key.start_pos + 1), texts

    def condition(self, children):
        column, comparison, value = children
        word = _Word(str(column), column.start_pos + 1)
        return word, comparison == "=", value.text

    def where(self, children):
        return children

    def since(self, children):
        number = children[0].rstrip("smh")
        return float(number) * _SECONDS[children[0][len(number) :]]

    def query(self, children):
        subject, where, since_s = children
        word = _Word(str(subject), subject.start_pos + 1)
        columns = SUBJECT_COLUMNS.get(word.text)
        if columns is None:
            raise _InvalidWordError(
                word, f"unknown subject; expected one of {', '.join(SUBJECT_COLUMNS)}"
            )
        conditions = []
        for column, equal, text in where or ():
            if column.text not in columns:
                raise _InvalidWordError(
                    column, f"unknown column; expected one of {', '.join(columns)}"
                )
            conditions.append(Condition(column.text, equal, text))
        return Query(word.text, tuple(conditions), since_s)

    def commands(self, children):
        return Commands(tuple(c for c in children if c is not None))

    def create(self, children):
        kind = self._kind(children[0])
        return Create(kind, children[1].text, self._assignments(kind, children[2:]))

    def alter(self, children):
        kind = self._kind(children[0])
        return Alter(kind, children[1].text, self._assignments(kind, children[2:]))

    def drop(self, children):
        return Drop(self._kind(children[0]), children[1].text)

    def drain(self, children):
        return SetUpstreamState(children[0].text, DRAINING)

    def undrain(self, children):
        return SetUpstreamState(children[0].text, ACTIVE)

    def load(self, children):
        model, version, upstreams = children
        return LoadModel(model.text, version.text, upstreams or ())

    @staticmethod
    def _kind(token) -> str:
        if str(token) not in ENTITY_KINDS:
            word = _Word(str(token), token.start_pos + 1)
            raise _InvalidWordError(
                word, f"unknown kind; expected one of {', '.join(ENTITY_KINDS)}"
            )
        return str(token)

    @staticmethod
    def _assignments(kind: str, children) -> tuple[Assignment, ...]:
        known = field_keys(ENTITY_KINDS[kind])
        for key, _ in children:
            if key.text not in known:
                raise _InvalidWordError(
                    key, f"unknown key; expected one of {', '.join(known)}"
                )
        return tuple(Assignment(key.text, texts) for key, texts in children)


_PARSER = lark.Lark(
    importlib.resources.files("kumquatseam.operators")
    .joinpath("language.lark")
    .read_text(encoding="utf-8"),
    parser="lalr",
    maybe_placeholders=True,
)


def parse(text: str) -> Query | Commands:
    """Parse a query or commands.

    :raises LanguageError: if ``text`` is invalid, with the column of the error.

    Example::

        >>> parse("drain upstream seer-pool-3").commands[0].state
        'draining'
    """
    try:
        return _StatementBuilder().transform(_PARSER.parse(text))
    except lark.exceptions.VisitError as error:
        if isinstance(error.orig_exc, _InvalidWordError):
            invalid = error.orig_exc
            raise LanguageError(text, invalid.word.column, invalid.reason) from error
        raise
    except lark.exceptions.UnexpectedEOF as error:
        reason = f"unexpected end; expected {_expected(error.expected)}"
        raise LanguageError(text, len(text) + 1, reason) from error
    except lark.exceptions.UnexpectedInput as error:
        names = getattr(error, "expected", None) or getattr(error, "allowed", ())
        raise LanguageError(
            text, _column(text, error), f"expected {_expected(names)}"
        ) from error


def _column(text: str, error: lark.exceptions.UnexpectedInput) -> int:
    """Return the column of the error, from 1; past the end if text is missing."""
    token = getattr(error, "token", None)
    at_end = token is not None and token.type == "$END"
    if at_end or error.pos_in_stream in (None, -1):
        return len(text) + 1
    return error.pos_in_stream + 1


def _expected(names) -> str:
    words = sorted(name.lower() for name in names)
    return " or ".join(words) if words else "something else"
