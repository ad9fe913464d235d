"""Binary codec for messages and stored records.

One :class:`MessageCodec` covers a closed set of frozen ``attrs`` classes and
encodes them with cattrs as msgpack ``[kind, body]``, so every message has a type
and an unknown kind is a typed error. Stored records encode fields by name.
Messages between running processes are compact: they encode fields by position.
New fields go to the end and have a default, so that versions can be mixed.

Example::

    >>> import attrs
    >>> @attrs.frozen
    ... class Ping:
    ...     sequence: int
    >>> codec = MessageCodec("example", {"ping": Ping})
    >>> codec.decode(codec.encode(Ping(7)))
    Ping(sequence=7)
"""

from collections.abc import Mapping

import msgpack
from cattrs import UnstructureStrategy
from cattrs.errors import BaseValidationError, ForbiddenExtraKeysError
from cattrs.preconf.msgpack import make_converter

from kumquatseam.errors import CodecError

#: maximum characters of an error's detail, which may quote the message.
MAX_DETAIL = 400


def _converter(strategy: UnstructureStrategy):
    converter = make_converter(unstruct_strat=strategy)
    # Skips the check of each element, since there are millions of block keys;
    # msgpack has already decoded them as numbers.
    converter.register_structure_hook_func(
        lambda cls: cls == tuple[int, ...], lambda value, _: tuple(value)
    )
    return converter


_NAMED = _converter(UnstructureStrategy.AS_DICT)
_COMPACT = _converter(UnstructureStrategy.AS_TUPLE)


def merge_kinds(*tables: Mapping[str, type]) -> dict[str, type]:
    """Return the message classes of several packages by their kind on the wire.

    :raises CodecError: if two classes have the same kind.
    """
    merged: dict[str, type] = {}
    for table in tables:
        for kind in merged.keys() & table.keys():
            names = f"{merged[kind].__name__} and {table[kind].__name__}"
            raise CodecError("message kinds", f"{kind!r} stands for {names}")
        merged.update(table)
    return merged


class MessageCodec:
    """Encodes and decodes a closed set of message classes.

    :param family: the name of the set, used in errors.
    :param kinds: message classes by their kind on the wire.
    :param is_compact: encode fields by position instead of by name.
    """

    def __init__(
        self, family: str, kinds: Mapping[str, type], is_compact: bool = False
    ) -> None:
        self._family = family
        self._converter = _COMPACT if is_compact else _NAMED
        self._kinds = dict(kinds)
        self._names = {cls: kind for kind, cls in self._kinds.items()}

    def encode(self, message: object) -> bytes:
        """Return ``message`` encoded as msgpack.

        :raises CodecError: if its class is not in the set, or a value has no encoding
            (an integer of more than 64 bits, text that is not Unicode).
        """
        kind = self._names.get(type(message))
        if kind is None:
            raise CodecError(self._family, f"unknown class {type(message).__name__}")
        try:
            return msgpack.packb([kind, self._converter.unstructure(message)])
        except (ValueError, OverflowError) as error:
            raise CodecError(self._family, f"{kind}: {error}"[:MAX_DETAIL]) from error

    def decode(self, data: bytes) -> object:
        """Return the message decoded from ``data``.

        :raises CodecError: if the bytes are not a message of the set.
        """
        try:
            kind, body = msgpack.unpackb(data, strict_map_key=False)
            return self._converter.structure(body, self._kinds[kind])
        except (
            BaseValidationError,
            ForbiddenExtraKeysError,
            msgpack.UnpackException,
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            OverflowError,
            RecursionError,
        ) as error:
            raise CodecError(self._family, repr(error)[:MAX_DETAIL]) from error
