"""Reads declaration files in INI format."""

from jacinthmount.catalogue import check_catalogue
from jacinthmount.declarations import SCHEMAS, object_name
from jacinthmount.errors import InvalidDeclarations
from jacinthmount.ini import iter_sections, parse_section
from jacinthmount.records import Record

__all__ = ('parse_declarations',)

MAX_NAME_LENGTH = 63
NAME_ALPHABET = frozenset('abcdefghijklmnopqrstuvwxyz0123456789-_.')


def parse_declarations(sources: dict[str, str]) -> dict[str, Record]:
    """Parses and validates all declaration files of a directory.

    :param sources: INI text by file name.
    :returns: records by object name.
    :raises InvalidDeclarations: with a list of all problems.
    """
    problems: list[str] = []
    records: dict[str, Record] = {}
    for source, text in sorted(sources.items()):
        for section, raw in iter_sections(text, source, problems):
            _parse_declaration(f'{source}: [{section}]', raw, records, problems)
    problems.extend(check_catalogue(list(records.values())))
    if problems:
        raise InvalidDeclarations(problems=problems)
    return records


def _parse_declaration(
    location: str,
    raw: dict[str, str],
    records: dict[str, Record],
    problems: list[str],
) -> None:
    kind, _, name = location.split('[', 1)[1].rstrip(']').partition(' ')
    if kind not in SCHEMAS:
        allowed = ', '.join(sorted(SCHEMAS))
        problems.append(f'{location}: unknown kind; allowed: {allowed}')
        return
    if not _is_valid_name(name):
        problems.append(
            f'{location}: name: use 1 to {MAX_NAME_LENGTH} of a-z 0-9 - _ .',
        )
        return
    if object_name(kind, name) in records:
        problems.append(f'{location}: declared twice')
        return
    record_type, schema = SCHEMAS[kind]
    problem_count = len(problems)
    fields = parse_section(schema, raw, location, problems)
    if len(problems) == problem_count:
        record = record_type(name=name, write_id='', **fields)
        records[object_name(kind, name)] = record


def _is_valid_name(name: str) -> bool:
    return 0 < len(name) <= MAX_NAME_LENGTH and set(name) <= NAME_ALPHABET
