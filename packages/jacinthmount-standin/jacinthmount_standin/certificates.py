"""Certificates for the peer connections of a test fleet."""

import datetime
import stat
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

__all__ = ('CertificateAuthority',)

VALID_DAYS = 30


class CertificateAuthority:
    """Certificate authority that issues the host certificates of a fleet."""

    __slots__ = ('_certificate', '_folder', '_key')

    def __init__(self, *, folder: Path) -> None:
        """Generates a key and writes the self-signed certificate."""
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        name = _subject('jacinthmount fleet')
        self._certificate = (
            _builder(name, name, self._key)
            .add_extension(
                x509.BasicConstraints(ca=True, path_length=0),
                critical=True,
            )
            .sign(self._key, hashes.SHA256())
        )
        self.ca_path.write_bytes(_pem(self._certificate))

    @property
    def ca_path(self) -> Path:
        """Path of the certificate of the authority."""
        return self._folder / 'ca.pem'

    def issue(self, host: str) -> tuple[Path, Path]:
        """Issues a certificate for a host.

        :returns: paths of the certificate and of its private key.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = _builder(
            _subject(host),
            self._certificate.subject,
            key,
        ).sign(self._key, hashes.SHA256())
        cert_path = self._folder / f'{host}.pem'
        key_path = self._folder / f'{host}.key'
        cert_path.write_bytes(_pem(certificate))
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        key_path.chmod(stat.S_IRUSR | stat.S_IWUSR)
        return cert_path, key_path


def _subject(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def _builder(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509
        .CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=VALID_DAYS))
    )


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
