"""Typed records and their JSON and msgpack codecs."""

import json
from types import NoneType, UnionType
from typing import (
    Any,
    TypeVar,
    Union,
    dataclass_transform,
    get_args,
    get_origin,
    get_type_hints,
)

import msgpack

from jacinthmount.errors import MalformedRecord, shorten

__all__ = (
    'UNPACK_ERRORS',
    'Record',
    'make_unpacker',
    'parse_json',
    'parse_msgpack',
    'replaced',
    'serialize_json',
    'serialize_msgpack',
)

# What an unpacker raises on bytes that are no record, or too many of them.
UNPACK_ERRORS = (ValueError, msgpack.UnpackException)
RECORD_EXT_CODE = 1
MAX_RECORD_BYTES = 4 * 1024 * 1024

_registry: dict[str, type['Record']] = {}
_hints: dict[type['Record'], dict[str, Any]] = {}

RecordT = TypeVar('RecordT', bound='Record')


@dataclass_transform(kw_only_default=True)
class Record:
    """Base of the plain slotted data types.

    A subclass lists its fields in ``__slots__`` and annotates each one. The
    constructor takes every field by keyword.
    """

    __slots__: tuple[str, ...] = ()

    def __init_subclass__(cls) -> None:
        """Registers the subclass under its name for decoding."""
        super().__init_subclass__()
        _registry[cls.__name__] = cls

    def __init__(self, **fields: Any) -> None:
        """Sets each field.

        :raises TypeError: a field is missing or unknown.
        """
        if len(fields) != len(self.__slots__):
            raise TypeError(_mismatch(type(self), fields))
        try:
            for name in self.__slots__:
                setattr(self, name, fields[name])
        except KeyError:
            raise TypeError(_mismatch(type(self), fields)) from None

    def __eq__(self, other: object) -> bool:
        """Compares by type and fields."""
        return _typed_state(self) == _typed_state(other)

    def __hash__(self) -> int:
        """Hashes by type and fields."""
        return hash(_typed_state(self))

    def __repr__(self) -> str:
        """Shows the type and the fields."""
        shown = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.__slots__
        )
        return f'{type(self).__name__}({shown})'


def replaced(record: RecordT, **changes: Any) -> RecordT:
    """Copies a record with some fields changed.

    :param record: the record to copy.
    :param changes: new field values by name.
    """
    fields = {name: getattr(record, name) for name in record.__slots__}
    fields.update(changes)
    return type(record)(**fields)


def serialize_json(record: Record) -> str:
    """Encodes a record as one line of JSON with sorted names."""
    return json.dumps(
        record,
        default=_fields,
        sort_keys=True,
        separators=(',', ':'),
    )


def parse_json(record_type: type[RecordT], text: str | bytes) -> RecordT:
    """Decodes and checks a record from JSON.

    :raises MalformedRecord: the text does not describe such a record.
    """
    try:
        return _build(record_type, json.loads(text))
    except (ValueError, RecursionError) as exc:
        raise MalformedRecord(detail=str(exc)) from exc


def serialize_msgpack(record: Record) -> bytes:
    """Encodes a record and its type name for a peer stream."""
    return msgpack.packb(record, default=_pack_ext)


def parse_msgpack(packed: bytes) -> Record:
    """Decodes and checks a record of any registered type.

    :raises MalformedRecord: the bytes are not a known record.
    """
    try:
        decoded = msgpack.unpackb(packed, ext_hook=_unpack_ext)
    except (ValueError, RecursionError, msgpack.UnpackException) as exc:
        raise MalformedRecord(detail=str(exc)) from exc
    if not isinstance(decoded, Record):
        raise MalformedRecord(detail='not a record')
    return decoded


def make_unpacker() -> msgpack.Unpacker:
    """Makes a bounded decoder for a stream of records."""
    return msgpack.Unpacker(
        ext_hook=_unpack_ext,
        max_buffer_size=MAX_RECORD_BYTES,
    )


def _typed_state(record: object) -> tuple[Any, ...]:
    state = _state(record) if isinstance(record, Record) else ()
    return type(record), state


def _state(record: Record) -> tuple[Any, ...]:
    return tuple(_frozen(getattr(record, name)) for name in record.__slots__)


def _frozen(field: Any) -> Any:
    if isinstance(field, list):
        return tuple(_frozen(member) for member in field)
    if isinstance(field, dict):
        return tuple(sorted(field.items()))
    return field


def _fields(record: Any) -> dict[str, Any]:
    if not isinstance(record, Record):
        raise TypeError(type(record).__name__)
    return {name: getattr(record, name) for name in record.__slots__}


def _pack_ext(record: Any) -> msgpack.ExtType:
    if not isinstance(record, Record):
        raise TypeError(type(record).__name__)
    row = [type(record).__name__]
    row.extend(getattr(record, name) for name in record.__slots__)
    return msgpack.ExtType(
        RECORD_EXT_CODE,
        msgpack.packb(row, default=_pack_ext),
    )


def _unpack_ext(code: int, packed: bytes) -> Record:
    if code != RECORD_EXT_CODE:
        raise MalformedRecord(detail=f'extension {code}')
    row = msgpack.unpackb(packed, ext_hook=_unpack_ext)
    if not isinstance(row, list) or not row or not isinstance(row[0], str):
        raise MalformedRecord(detail='record without a type name')
    record_type = _registry.get(row[0])
    if record_type is None:
        raise MalformedRecord(detail=f'unknown type {shorten(row[0])}')
    if len(row) != len(record_type.__slots__) + 1:
        raise MalformedRecord(detail=f'{row[0]} with a wrong field count')
    return _build(
        record_type, dict(zip(record_type.__slots__, row[1:], strict=True))
    )


def _build(record_type: type[RecordT], raw: Any) -> RecordT:
    if not isinstance(raw, dict):
        raise MalformedRecord(detail=f'{record_type.__name__}: not an object')
    hints = _hints.get(record_type)
    if hints is None:
        hints = get_type_hints(record_type)
        _hints[record_type] = hints
    try:
        fields = {
            name: _checked(hints[name], raw.pop(name))
            for name in record_type.__slots__
        }
    except KeyError as exc:
        raise MalformedRecord(
            detail=f'{record_type.__name__}: no {exc}'
        ) from exc
    if raw:
        raise MalformedRecord(
            detail=f'{record_type.__name__}: extra {sorted(raw)}'
        )
    return record_type(**fields)


def _checked(hint: Any, raw: Any) -> Any:
    origin = get_origin(hint)
    if origin is Union or origin is UnionType:
        return _checked_union(hint, raw)
    if origin is list:
        _require(isinstance(raw, list), hint)
        return [_checked(get_args(hint)[0], member) for member in raw]
    if origin is dict:
        _require(isinstance(raw, dict), hint)
        return {
            str(name): _checked(get_args(hint)[1], member)
            for name, member in raw.items()
        }
    return _checked_scalar(hint, raw)


def _checked_union(hint: Any, raw: Any) -> Any:
    if raw is None:
        _require(NoneType in get_args(hint), hint)
        return None
    options = [arg for arg in get_args(hint) if arg is not NoneType]
    return _checked(options[0], raw)


def _checked_scalar(hint: Any, raw: Any) -> Any:
    if hint is Record:
        _require(isinstance(raw, Record), hint)
        return raw
    if issubclass(hint, Record):
        return raw if isinstance(raw, hint) else _build(hint, raw)
    if hint is float and isinstance(raw, int) and not isinstance(raw, bool):
        return float(raw)
    # A bool is an int to isinstance, but not to the other host.
    _require(raw.__class__ is hint, hint)
    return raw


def _require(holds: bool, hint: Any) -> None:
    if not holds:
        raise MalformedRecord(detail=f'expected {hint}')


def _mismatch(record_type: type[Record], fields: dict[str, Any]) -> str:
    names = ', '.join(record_type.__slots__)
    return f'{record_type.__name__} takes {names}; got {sorted(fields)}'
