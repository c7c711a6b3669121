"""Records of the stand-in for the store of the users' platform, without I/O."""

import base64
import copy
from collections import defaultdict

import msgspec

from teaselcove.platform.store import LENGTH, READ_HEADER

KEYED_PREFIX = 'keyed.'
PAGE_SIZE = 50
MAX_KEPT_REPLIES = 5


class RejectedError(Exception):
    """A request that the store answers with an error status."""

    def __init__(self, status: int, **body: object) -> None:
        self.status = status
        self.body = body
        super().__init__(str(status))


class Producer(msgspec.Struct):
    """State of a producer in a partition, for detecting repeated appends.

    Attributes:
        sequence: Sequence number of the last append in the current epoch.
        replies: Replies to the latest appends by sequence number.
    """

    epoch: int = -1
    sequence: int | None = None
    replies: dict[int, dict[str, int]] = {}


class Partition(msgspec.Struct):
    """Records of a partition and the state of its producers.

    Attributes:
        first: Offset of the oldest retained record.
        newest: Offset and content of the newest record of each key.
    """

    first: int = 0
    records: list[bytes] = []
    producers: dict[str, Producer] = {}
    newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)


class LogStore:
    """In-memory store of partitioned topics.

    Supports conditional and idempotent appends, trimming, and a view of the
    newest record of each key.

    Attributes:
        copied: Partitions as they were when the copy was made.
        era: Number of times that the copy was restored.
    """

    def __init__(self) -> None:
        self.partitions: defaultdict[tuple[str, int], Partition] = defaultdict(
            lambda: Partition(records=[], producers={}, newest={})
        )
        self.copied = copy.deepcopy(self.partitions)
        self.era = 0

    def keep_copy(self) -> None:
        """Copies all records."""
        self.copied = copy.deepcopy(self.partitions)

    def restore(self) -> None:
        """Goes back to the copy; records written since are lost."""
        self.partitions = copy.deepcopy(self.copied)
        self.era += 1

    def append(
        self,
        topic: str,
        part: int,
        payload: bytes,
        as_of: int | None = None,
        producer: str | None = None,
        epoch: int = 0,
        sequence: int = 0,
    ) -> dict[str, int]:
        """Appends records; returns the offset of the first and the new end.

        Raises:
            RejectedError: If the partition does not end at `as_of`, or if the
                epoch or sequence of the producer is invalid.
        """
        partition = self.partitions[topic, part]
        if as_of is not None and as_of != partition.end:
            raise RejectedError(412, end=partition.end)
        producer_state = None
        if producer is not None:
            producer_state = partition.producers.setdefault(
                producer, Producer(replies={})
            )
            reply = self.check_producer(producer_state, epoch, sequence)
            if reply is not None:
                return reply
        reply = {'offset': partition.end, 'end': partition.end}
        for record in split_records(payload):
            self.add_record(topic, partition, record)
        reply['end'] = partition.end
        if producer_state is not None and payload:
            producer_state.sequence = sequence
            producer_state.replies[sequence] = reply
            if len(producer_state.replies) > MAX_KEPT_REPLIES:
                producer_state.replies.pop(min(producer_state.replies))
        return reply

    def check_producer(
        self, producer_state: Producer, epoch: int, sequence: int
    ) -> dict[str, int] | None:
        """Returns the original reply to a repeated append, or None.

        Raises:
            RejectedError: If the epoch is outdated or the sequence has a gap.
        """
        if epoch < producer_state.epoch:
            raise RejectedError(409, why='fenced')
        if epoch > producer_state.epoch:
            producer_state.epoch = epoch
            producer_state.sequence = None
            producer_state.replies = {}
        reply = producer_state.replies.get(sequence)
        if reply is not None:
            return reply
        if (
            producer_state.sequence is not None
            and sequence != producer_state.sequence + 1
        ):
            raise RejectedError(
                409, why='seq', expected=producer_state.sequence + 1
            )
        return None

    def add_record(
        self, topic: str, partition: Partition, record: bytes
    ) -> None:
        """Appends a record and updates the newest record of its key."""
        offset = partition.end
        partition.records.append(record)
        if not topic.startswith(KEYED_PREFIX):
            return
        end = 1 + record[0]
        key = record[1:end].decode()
        if record[end:]:
            partition.newest[key] = (offset, record[end:])
        else:
            partition.newest.pop(key, None)

    def read(self, topic: str, part: int, offset: int) -> bytes:
        """Encodes the end, the first offset and the records from an offset.

        Raises:
            RejectedError: If there are no records from this offset on.
        """
        partition = self.partitions[topic, part]
        if not partition.first <= offset <= partition.end:
            raise RejectedError(410, first=partition.first)
        found = partition.records[offset - partition.first :]
        body = b''.join(LENGTH.pack(len(item)) + item for item in found)
        return READ_HEADER.pack(partition.end, partition.first) + body

    def newest(self, topic: str, part: int, after: str) -> dict[str, object]:
        """Returns a page of the newest record of each key, sorted by key."""
        partition = self.partitions[topic, part]
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                'key': key,
                'value': base64.b64encode(partition.newest[key][1]).decode(),
                'offset': partition.newest[key][0],
            }
            for key in keys[:PAGE_SIZE]
        ]
        has_more = len(keys) > PAGE_SIZE
        return {'items': items, 'hasMore': has_more, 'end': partition.end}

    def trim(self, topic: str, part: int, before: int) -> None:
        """Deletes the records before an offset."""
        partition = self.partitions[topic, part]
        partition.records = partition.records[before - partition.first :]
        partition.first = before


def split_records(payload: bytes) -> list[bytes]:
    """Splits a payload of length-prefixed records."""
    records = []
    position = 0
    while position < len(payload):
        size = LENGTH.unpack_from(payload, position)[0]
        position += LENGTH.size
        records.append(payload[position : position + size])
        position += size
    return records
