"""Logging configuration: JSON or plain lines on standard error."""

import logging
import time

import msgspec

from teaselcove.settings import LogSettings


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns a record as JSON."""
        line = {
            'time': round(record.created, 6),
            'level': record.levelname,
            'logger': record.name,
            'message': record.getMessage(),
        }
        line.update(getattr(record, 'figures', {}))
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class TextFormatter(logging.Formatter):
    """Formats a record as plain text with its fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns a record as plain text."""
        clock = time.strftime('%H:%M:%S', time.gmtime(record.created))
        figures = getattr(record, 'figures', {})
        pairs = [f'{name}={value}' for name, value in figures.items()]
        text = ' '.join([record.getMessage(), *pairs])
        line = f'{clock} {record.levelname} {record.name} {text}'
        if record.exc_info:
            return '\n'.join([line, self.formatException(record.exc_info)])
        return line


def configure_logging(settings: LogSettings) -> None:
    """Configures logging to standard error in the selected format."""
    handler = logging.StreamHandler()
    json_lines = settings.format == 'json'
    handler.setFormatter(JsonFormatter() if json_lines else TextFormatter())
    logging.basicConfig(level=settings.level, handlers=[handler], force=True)
