"""Reads the records of one topic, in full if the store may have lost some."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from teaselcove.errors import HistoryLostError, StoreUnavailableError
from teaselcove.ids import Era, Instant
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import RecordPage
from teaselcove.platform.store import StoreClient

log = logging.getLogger('teaselcove.store')


class TopicConsumer:
    """Reads a keyed topic, first its newest records and then new ones.

    Attributes:
        offset: Offset of the next read, or None before the first one.
        era: Era of the store in which the offset is valid.
        asked_at: When the latest successful read was sent, or None.
    """

    def __init__(self, store: StoreClient, topic: str) -> None:
        self.store = store
        self.topic = topic
        self.offset: int | None = None
        self.era = Era(0)
        self.asked_at: Instant | None = None

    async def read(self, wait: float = 0) -> tuple[RecordPage, bool]:
        """Returns records and whether they are the newest ones of all keys.

        Raises:
            StoreUnavailableError: If the store did not answer.
            CodecError: If the answer cannot be decoded.
        """
        page = await self.read_new(wait)
        if page is not None:
            return page, False
        asked_at = boot_time()
        page = await self.store.newest(self.topic, asked_at)
        self.check_era(page)
        self.offset = page.next_offset
        self.era = page.era
        self.asked_at = asked_at
        return page, True

    async def read_new(self, wait: float) -> RecordPage | None:
        """Returns the records from the offset on, or None if some are missing.

        In a new era of the store, records below the offset may be new ones.
        """
        if self.offset is None:
            return None
        asked_at, era = boot_time(), self.era
        try:
            page = await self.store.read(
                self.topic, self.offset, asked_at, wait
            )
        except HistoryLostError as error:
            log.info('history-lost', extra={'figures': {'why': str(error)}})
            self.offset = None
            return None
        self.check_era(page)
        if page.era != era:
            return None
        # A concurrent read may have reset the offset because of a lost history.
        self.offset = max(self.offset or 0, page.next_offset)
        self.asked_at = asked_at
        return page

    @contextmanager
    def read_again_on_failure(self) -> Iterator[None]:
        """Wraps the use of a result; if it fails, all records are read again.

        Otherwise the records behind the one that failed would never be used,
        and the next read would show that there is nothing new.
        """
        try:
            yield
        except Exception:
            self.offset = None
            raise

    def check_era(self, page: RecordPage) -> None:
        """Checks that a result is not older than what was read before.

        Raises:
            StoreUnavailableError: If the store gave it before it was restored.
        """
        if page.era < self.era:
            raise StoreUnavailableError(
                f'{self.topic}: a response of era {page.era}, after {self.era}'
            )
