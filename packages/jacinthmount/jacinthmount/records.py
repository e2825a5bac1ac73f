"""Typed records with validating JSON and msgpack codecs."""

import json
import re
from functools import partial
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
    'count_json_bytes',
    'make_unpacker',
    'parse_json',
    'parse_msgpack',
    'replaced',
    'serialize_json',
    'serialize_msgpack',
)

# Errors of an unpacker for bytes that are no record or exceed its buffer.
UNPACK_ERRORS = (ValueError, msgpack.UnpackException)
RECORD_EXT_CODE = 1
MAX_DEPTH = 32
MAX_RECORD_BYTES = 4 * 1024 * 1024
# The whole numbers that a peer message can hold.
MIN_INT = -9_223_372_036_854_775_808
MAX_INT = 18_446_744_073_709_551_615
LONE_SURROGATE = re.compile('[\ud800-\udfff]')

_registry: dict[str, type['Record']] = {}
_hints: dict[type['Record'], dict[str, Any]] = {}

RecordT = TypeVar('RecordT', bound='Record')


@dataclass_transform(kw_only_default=True)
class Record:
    """Base of the data types that are stored or sent to peers.

    A subclass lists its fields in ``__slots__`` and annotates each one. The
    constructor requires every field as a keyword argument. The order of
    ``__slots__`` is part of the peer protocol.
    """

    __slots__: tuple[str, ...] = ()

    def __init_subclass__(cls) -> None:
        """Registers the subclass by its name, which the decoder looks up."""
        super().__init_subclass__()
        _registry[cls.__name__] = cls

    def __init__(self, **fields: Any) -> None:
        """Sets each field.

        :raises TypeError: a field is missing or unknown.
        """
        if len(fields) != len(self.__slots__):
            raise TypeError(_describe_mismatch(type(self), fields))
        try:
            for name in self.__slots__:
                setattr(self, name, fields[name])
        except KeyError:
            raise TypeError(_describe_mismatch(type(self), fields)) from None

    def __eq__(self, other: object) -> bool:
        """Compares by type and fields."""
        return _typed_values(self) == _typed_values(other)

    def __hash__(self) -> int:
        """Hashes by type and fields."""
        return hash(_typed_values(self))

    def __repr__(self) -> str:
        """Shows the type and the fields."""
        shown = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.__slots__
        )
        return f'{type(self).__name__}({shown})'


def replaced(record: RecordT, **changes: Any) -> RecordT:
    """Returns a copy of a record with some fields changed.

    :param record: the record to copy.
    :param changes: new field values by name.
    """
    fields = {name: getattr(record, name) for name in record.__slots__}
    fields.update(changes)
    return type(record)(**fields)


def serialize_json(record: Record) -> str:
    """Encodes a record as one line of JSON with sorted keys."""
    return json.dumps(
        record,
        default=_fields,
        sort_keys=True,
        separators=(',', ':'),
    )


def count_json_bytes(text: str) -> int:
    """Returns the bytes of a text in JSON.

    A character outside ASCII takes six or twelve, a quote takes two.
    """
    return len(json.dumps(text))


def parse_json(record_type: type[RecordT], text: str | bytes) -> RecordT:
    """Decodes and validates a record from JSON.

    :raises MalformedRecord: the text is not a valid record of this type.
    """
    try:
        return _build(record_type, json.loads(text))
    except (ValueError, RecursionError) as exc:
        raise MalformedRecord(detail=str(exc)) from exc


def serialize_msgpack(record: Record) -> bytes:
    """Encodes a record with its type name for a peer stream."""
    return msgpack.packb(record, default=_pack_ext)


def parse_msgpack(packed: bytes) -> Record:
    """Decodes and validates a record of any registered type.

    :raises MalformedRecord: the bytes are not a valid record.
    """
    try:
        decoded = msgpack.unpackb(packed, ext_hook=_unpack_ext)
    except (ValueError, RecursionError, msgpack.UnpackException) as exc:
        raise MalformedRecord(detail=str(exc)) from exc
    if not isinstance(decoded, Record):
        raise MalformedRecord(detail='not a record')
    return decoded


def make_unpacker() -> msgpack.Unpacker:
    """Creates a decoder for a stream of records with a limited buffer."""
    return msgpack.Unpacker(
        ext_hook=_unpack_ext,
        max_buffer_size=MAX_RECORD_BYTES,
    )


def _typed_values(record: object) -> tuple[Any, ...]:
    state = _field_values(record) if isinstance(record, Record) else ()
    return type(record), state


def _field_values(record: Record) -> tuple[Any, ...]:
    return tuple(_freeze(getattr(record, name)) for name in record.__slots__)


def _freeze(field: Any) -> Any:
    if isinstance(field, list):
        return tuple(_freeze(member) for member in field)
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


def _unpack_ext(code: int, packed: bytes, depth: int = 0) -> Record:
    if code != RECORD_EXT_CODE:
        raise MalformedRecord(detail=f'extension {code}')
    if depth == MAX_DEPTH:
        raise MalformedRecord(detail='nested too deeply')
    row = msgpack.unpackb(
        packed, ext_hook=partial(_unpack_ext, depth=depth + 1)
    )
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
            name: _validate(hints[name], raw.pop(name))
            for name in record_type.__slots__
        }
    except KeyError as exc:
        raise MalformedRecord(
            detail=f'{record_type.__name__}: no {exc}'
        ) from exc
    if raw:
        raise MalformedRecord(
            detail=f'{record_type.__name__}: extra {shorten(sorted(raw))}'
        )
    return record_type(**fields)


def _validate(hint: Any, raw: Any) -> Any:
    origin = get_origin(hint)
    if origin is Union or origin is UnionType:
        return _validate_union(hint, raw)
    if origin is list:
        _require(isinstance(raw, list), hint)
        return [_validate(get_args(hint)[0], member) for member in raw]
    if origin is dict:
        _require(isinstance(raw, dict), hint)
        return {
            _validate(str, str(name)): _validate(get_args(hint)[1], member)
            for name, member in raw.items()
        }
    return _validate_scalar(hint, raw)


def _validate_union(hint: Any, raw: Any) -> Any:
    if raw is None:
        _require(NoneType in get_args(hint), hint)
        return None
    options = [arg for arg in get_args(hint) if arg is not NoneType]
    return _validate(options[0], raw)


def _validate_scalar(hint: Any, raw: Any) -> Any:
    if hint is Record:
        _require(isinstance(raw, Record), hint)
        return raw
    if issubclass(hint, Record):
        return raw if isinstance(raw, hint) else _build(hint, raw)
    if raw.__class__ is int:
        # Also for a float, which can't hold an int of any size.
        _require(MIN_INT <= raw <= MAX_INT, hint)
        raw = float(raw) if hint is float else raw
    # isinstance() would accept a bool as an int, which is another type on the
    # wire.
    _require(raw.__class__ is hint, hint)
    if hint is str:
        _require(_is_encodable(raw), hint)
    return raw


def _is_encodable(text: str) -> bool:
    # JSON can hold lone surrogates, which a peer message can't.
    return text.isascii() or not LONE_SURROGATE.search(text)


def _require(is_valid: bool, hint: Any) -> None:
    if not is_valid:
        raise MalformedRecord(detail=f'expected {hint}')


def _describe_mismatch(
    record_type: type[Record], fields: dict[str, Any]
) -> str:
    names = ', '.join(record_type.__slots__)
    return f'{record_type.__name__} takes {names}; got {sorted(fields)}'
