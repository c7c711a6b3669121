"""Reads entries that other processes have written to the store."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import TypeVar

from teaselcove.decoding import describe
from teaselcove.errors import CodecError
from teaselcove.ingress.entities import KeyedRecord
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

log = logging.getLogger('teaselcove.store')

EntryT = TypeVar('EntryT')


@ingress_services.register('entry-reader')
class EntryReader:
    """Reads entries one by one and skips those that cannot be read.

    An entry must not keep a host from those behind it, which may say that a
    server leaves or a key is withdrawn.

    Attributes:
        skipped: Number of entries skipped since the start, by topic.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.skipped: Counter[str] = Counter()

    def decode(
        self,
        topic: str,
        record: KeyedRecord,
        decoder: Callable[[KeyedRecord], EntryT],
    ) -> EntryT | None:
        """Returns the entry of a record, or None if it has no valid one.

        Args:
            topic: Topic of the record.
            record: The record.
            decoder: Decodes the record. Raises CodecError if it cannot.
        """
        if record.value is None:
            return None
        try:
            return decoder(record)
        except CodecError as error:
            self.skip('entry-unreadable', topic, record, error)
        return None

    @contextmanager
    def applying(self, topic: str, record: KeyedRecord) -> Iterator[None]:
        """Skips an entry that was read but cannot be applied."""
        try:
            yield
        except Exception as error:
            self.skip('entry-failed', topic, record, error)

    def skip(
        self, kind: str, topic: str, record: KeyedRecord, error: Exception
    ) -> None:
        """Counts and logs an entry that is skipped."""
        self.skipped[topic] += 1
        log.error(
            kind,
            extra={
                'figures': {
                    'topic': topic,
                    'key': record.key,
                    'offset': record.offset,
                    'why': describe(error),
                }
            },
        )

    def decode_all(
        self,
        topic: str,
        page: Iterable[KeyedRecord],
        decoder: Callable[[KeyedRecord], EntryT],
    ) -> list[tuple[KeyedRecord, EntryT]]:
        """Returns the records that have a valid entry, with their entries."""
        decoded = [
            (record, self.decode(topic, record, decoder)) for record in page
        ]
        return [
            (record, entry) for record, entry in decoded if entry is not None
        ]
