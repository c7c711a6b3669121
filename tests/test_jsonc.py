"""Tests of the parser for JSON with comments."""

import pytest

from teaselcove import jsonc
from teaselcove.errors import FieldError

TEXT = """// first
{
  "a": [1, {"b": true}],  /* two
  lines */
  "c": "x // y",
}
"""


class TestParse:
    """Data and line numbers of a file."""

    def test_data(self) -> None:
        """Guards against comments that change the data."""
        document = jsonc.parse(TEXT)
        assert document.root == {'a': [1, {'b': True}], 'c': 'x // y'}

    def test_lines(self) -> None:
        """Guards against errors that name the wrong line."""
        document = jsonc.parse(TEXT)
        assert document.line_of(('a', 1, 'b')) == 3
        assert document.line_of(('c',)) == 5
        assert document.line_of(('missing',)) == 2

    @pytest.mark.parametrize(
        ('text', 'line'),
        [
            ('{"a": 1,\n"a": 2}', 2),
            ('{\n/* open', 2),
            ('{"a" 1}', 1),
            ('', 1),
        ],
    )
    def test_invalid(self, text: str, line: int) -> None:
        """Guards against accepting an invalid file."""
        with pytest.raises(FieldError) as caught:
            jsonc.parse(text)
        assert caught.value.line == line
