"""Checks of the heads of requests."""

from http import HTTPStatus

import h11
from jacinthmount.errors import (
    AmbiguousFraming,
    HeadersTooLarge,
    JacinthmountError,
    MalformedRequest,
)

__all__ = ('check_head', 'make_head_error')


def check_head(head: h11.Request, limit: int) -> list[tuple[str, str]]:
    """Checks the size and the framing of a head.

    :param limit: size limit in bytes.
    :returns: its header rows, with names in lower case.
    :raises HeadersTooLarge: it exceeds the limit.
    :raises AmbiguousFraming: the length of its body is ambiguous.
    """
    size = len(head.target) + sum(
        len(name) + len(text) for name, text in head.headers
    )
    if size > limit:
        # The reader limits only the size of incomplete heads.
        raise HeadersTooLarge(detail=f'headers exceed {limit} bytes')
    names = [name for name, _ in head.headers]
    if b'content-length' in names and b'transfer-encoding' in names:
        raise AmbiguousFraming(
            detail='both Content-Length and Transfer-Encoding',
        )
    return [
        (name.decode('ascii'), content.decode('latin-1'))
        for name, content in head.headers
    ]


def make_head_error(
    exc: h11.RemoteProtocolError,
    limit: int,
) -> JacinthmountError:
    """Creates the error of a head that could not be parsed.

    :param limit: size limit in bytes.
    """
    if exc.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
        return HeadersTooLarge(detail=f'headers exceed {limit} bytes')
    return MalformedRequest(detail=str(exc))
