"""Parts of prompts, as what requests that crash upstreams may have in common."""

import attrs
import xxhash

#: begins the keys of parts; fingerprints of requests are hexadecimal.
_PREFIX = "part/"
#: longer keys are replaced by a hash, since the log service bounds keys.
MAX_KEY_BYTES = 160


@attrs.frozen
class PromptParts:
    """The parts of a request's prompt that other requests may share.

    Crashes under a part are counted for all models of a service together: what crashes
    an upstream may be the text alone.

    :param service: the service that the request is for.
    :param ids: the parts' ids, in prompt order.
    """

    service: str = ""
    ids: tuple[str, ...] = ()

    def subjects(self) -> tuple[str, ...]:
        """Return the keys under which crashes are counted for the parts."""
        return tuple(dict.fromkeys(map(self._key, self.ids)))

    def _key(self, part_id: str) -> str:
        key = f"{_PREFIX}{self.service}/{part_id}"
        if len(key.encode()) > MAX_KEY_BYTES:
            return _PREFIX + xxhash.xxh3_128_hexdigest(key.encode())
        return key


#: of a request without a prompt of parts.
NO_PARTS = PromptParts()


def is_part(subject: str) -> bool:
    """Return whether a subject of suspicion is a part, and not a whole request."""
    return subject.startswith(_PREFIX)
