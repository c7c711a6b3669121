"""Guards decoders against whatever another process has written."""

from collections.abc import Iterator
from contextlib import contextmanager

from teaselcove.errors import CodecError

# Characters of an error's text that are kept; it may quote what was decoded.
MAX_TEXT = 200


def describe(error: Exception) -> str:
    """Returns the type and the beginning of the text of an error."""
    return f'{type(error).__name__}: {error}'[:MAX_TEXT]


@contextmanager
def decoding(subject: str) -> Iterator[None]:
    """Turns each failure to decode into one type of error.

    Decoders raise more types than their documentation names, for example
    RecursionError for nested values and ValueError for numbers of thousands of
    digits.

    Args:
        subject: What is decoded, for the text of the error.

    Raises:
        CodecError: If the decoder fails.
    """
    try:
        yield
    except CodecError:
        raise
    except Exception as error:
        raise CodecError(f'{subject}: {describe(error)}') from error
