"""Issues, hashes and checks callers' keys."""

import hashlib
import hmac
import secrets

from teaselcove.entities import Key
from teaselcove.ids import KeyId, OrganisationId
from teaselcove.kernel import Kernel, services

KEY_PREFIX = 'tc'
KEY_ID_BYTES = 8
SECRET_BYTES = 24
SALT_BYTES = 8


def hash_secret(salt: str, secret: str) -> str:
    """Returns the hexadecimal hash to store for a secret."""
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def issue(organisation: OrganisationId) -> tuple[Key, str]:
    """Creates a key; returns its stored form and the text for the caller."""
    key_id = KeyId(secrets.token_hex(KEY_ID_BYTES))
    secret = secrets.token_hex(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    key = Key(key_id, organisation, salt, hash_secret(salt, secret))
    return key, f'{KEY_PREFIX}_{key_id}_{secret}'


def parse_key(text: str) -> tuple[KeyId, str] | None:
    """Returns the key id and secret of a key's text, or None if malformed."""
    parts = text.split('_')
    if len(parts) != 3 or parts[0] != KEY_PREFIX:
        return None
    return KeyId(parts[1]), parts[2]


@services.register('keys')
class Keys:
    """Checks keys against the current configuration."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def check(self, text: str) -> Key | None:
        """Returns the current key that matches a text, or None."""
        parts = parse_key(text)
        if parts is None:
            return None
        key_id, secret = parts
        key = self.kernel.service('configuration').key(key_id)
        if key is None:
            return None
        presented = hash_secret(key.salt, secret)
        return key if hmac.compare_digest(presented, key.hash) else None
