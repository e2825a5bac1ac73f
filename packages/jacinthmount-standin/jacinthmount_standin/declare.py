"""Writes the declarations of a test fleet as INI files."""

import types
from pathlib import Path

__all__ = ('WEIGHTS', 'Declared', 'write_declarations')

SERVICES_INI = """\
[profile meeting-brief]
lane = online
deadline_s = 10
idempotent = no

[profile lookup]
lane = online
deadline_s = 10

[service brief]
kind = plain
profile = meeting-brief

[service glossary]
kind = plain
profile = lookup

[route brief]
service = brief

[route glossary]
service = glossary

[route notices]
service = glossary
open = yes
"""


WEIGHTS = 'provenance-weights'
YES_NO = types.MappingProxyType({True: 'yes', False: 'no'})


class Declared:
    """Content of the declarations of a test fleet."""

    __slots__ = (
        'accounts',
        'deadline_s',
        'engines',
        'fenced',
        'idempotent',
        'left_out',
        'plain_port',
        'regions',
        'shares',
        'version',
    )

    def __init__(
        self,
        *,
        shares: dict[str, float],
        engines: dict[str, tuple[str, int, int]],
        plain_port: int,
        accounts: dict[str, tuple[float, float]],
    ) -> None:
        """Initialises the content.

        :param shares: fraction of the rate limits by data centre.
        :param engines: data centre, port and slots by engine name.
        :param plain_port: port of the plain service.
        :param accounts: requests per second and burst by account name.
        """
        self.shares = shares
        self.engines = engines
        self.plain_port = plain_port
        self.accounts = accounts
        self.regions: dict[str, str] = {}
        self.version = ''
        self.fenced = True
        # Whether requests to the model may be repeated.
        self.idempotent = True
        # Deadline of requests to the model, in seconds.
        self.deadline_s = 20
        # Sections of services, routes and profiles that are not declared.
        self.left_out: set[str] = set()


def write_declarations(folder: Path, declared: Declared) -> None:
    """Writes the INI files of the declarations to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    sections = (SERVICES_INI + _model_section(declared)).split('\n\n')
    (folder / 'services.ini').write_text(
        '\n\n'.join(
            section
            for section in sections
            if section.partition('\n')[0].strip('[]') not in declared.left_out
        )
    )
    (folder / 'fleet.ini').write_text(
        ''.join([
            *(
                f'[data_centre {name}]\n'
                f'region = {declared.regions.get(name, "test")}\n'
                f'share = {share}\n\n'
                for name, share in declared.shares.items()
            ),
            *(
                f'[endpoint {name}]\nservice = provenance-llm\n'
                f'data_centre = {data_centre}\n'
                f'address = 127.0.0.1:{port}\nslots = {slots}\n'
                f'fenced = {YES_NO[declared.fenced]}\n\n'
                for name, (data_centre, port, slots) in declared.engines.items()
            ),
            *(
                f'[endpoint {service}-{data_centre}]\nservice = {service}\n'
                f'data_centre = {data_centre}\n'
                f'address = 127.0.0.1:{declared.plain_port}\nslots = 32\n\n'
                for data_centre in declared.shares
                for service in ('brief', 'glossary')
            ),
        ])
    )
    (folder / 'accounts.ini').write_text(
        ''.join(
            f'[account {name}]\nrate_per_s = {rate}\nburst = {burst}\n\n'
            for name, (rate, burst) in declared.accounts.items()
        )
    )


def _model_section(declared: Declared) -> str:
    weights = WEIGHTS if declared.version else ''
    return (
        '\n[profile online]\nlane = online\n'
        f'deadline_s = {declared.deadline_s}\n'
        f'idempotent = {YES_NO[declared.idempotent]}\n'
        '\n[service provenance-llm]\nkind = model\nprofile = online\n'
        f'weights = {weights}\nversion = {declared.version}\n'
    )
