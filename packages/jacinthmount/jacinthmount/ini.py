"""Schema validation of INI sections for node settings and declarations."""

import configparser
import types
from typing import Any

from jacinthmount.records import Record

__all__ = ('Option', 'iter_sections', 'make_option', 'parse_section')

BOOLEANS = types.MappingProxyType({'yes': True, 'no': False})


class Option(Record):
    """Schema of one option of an INI section.

    ``kind`` is text, int, float, bool or list. ``default`` is None for a
    required option. ``choices`` lists the allowed values, if restricted.
    """

    __slots__ = (
        'name',
        'kind',
        'unit',
        'default',
        'low',
        'high',
        'choices',
        'purpose',
    )

    name: str
    kind: str
    unit: str
    default: str | None
    low: float | None
    high: float | None
    choices: list[str]
    purpose: str


def make_option(
    name: str,
    kind: str,
    unit: str,
    purpose: str,
    **limits: Any,
) -> Option:
    """Creates an option.

    :param limits: any of ``default``, ``low``, ``high`` and ``choices``.
    """
    return Option(
        name=name,
        kind=kind,
        unit=unit,
        purpose=purpose,
        default=limits.get('default'),
        low=limits.get('low'),
        high=limits.get('high'),
        choices=limits.get('choices', []),
    )


def iter_sections(text: str, source: str, problems: list[str]):
    """Yields (section name, options) pairs of an INI text.

    :param text: the INI text.
    :param source: file name for messages.
    :param problems: a message is appended if the text can't be parsed.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        problems.append(f'{source}: {exc}'.replace('\n', ' '))
        return
    for section in parser.sections():
        yield section, dict(parser.items(section))


def parse_section(
    schema: tuple[Option, ...],
    raw: dict[str, str],
    location: str,
    problems: list[str],
) -> dict[str, Any]:
    """Validates the options of one section and adds defaults.

    :param location: file and section for messages.
    :param problems: one message is appended for each invalid option.
    :returns: parsed values by option name, without invalid ones.
    """
    known = {option.name for option in schema}
    for name in sorted(set(raw) - known):
        allowed = ', '.join(sorted(known))
        problems.append(
            f'{location}: {name}: unknown option; allowed: {allowed}'
        )
    parsed = {}
    for option in schema:
        text = raw.get(option.name, option.default)
        if text is None:
            problems.append(
                f'{location}: {option.name}: required ({option.unit})'
            )
            continue
        try:
            parsed[option.name] = _parse_option(option, text.strip())
        except ValueError as exc:
            problems.append(f'{location}: {option.name}: {exc}')
    return parsed


def _parse_option(option: Option, text: str) -> Any:
    if option.kind == 'bool':
        if text not in BOOLEANS:
            raise ValueError(f'{text!r} is not one of: yes, no')
        return BOOLEANS[text]
    if option.kind == 'list':
        return [word.strip() for word in text.split(',') if word.strip()]
    if option.kind == 'text':
        return _parse_text(option, text)
    return _parse_number(option, text)


def _parse_text(option: Option, text: str) -> str:
    if option.choices and text not in option.choices:
        allowed = ', '.join(option.choices)
        raise ValueError(f'{text!r} is not one of: {allowed}')
    if not text and option.default is None:
        raise ValueError('must not be empty')
    return text


def _parse_number(option: Option, text: str) -> float | int:
    try:
        number = int(text) if option.kind == 'int' else float(text)
    except ValueError:
        raise ValueError(f'{text!r} is not a number of {option.unit}') from None
    if option.low is not None and not number >= option.low:
        raise ValueError(f'{text} is below {option.low:g} {option.unit}')
    if option.high is not None and not number <= option.high:
        raise ValueError(f'{text} is above {option.high:g} {option.unit}')
    return number
