"""CURVE keys that authenticate and encrypt the links.

All processes of a deployment share one key pair. A peer without it is
rejected during the handshake, so that its messages never reach the decoder.
"""

import pathlib

import msgspec
import zmq
import zmq.auth
from zmq.auth.thread import ThreadAuthenticator

KEY_PAIR_NAME = 'shared'
FILE_MODE = 0o600


class LinkKeys(msgspec.Struct, frozen=True):
    """Key pair of a deployment.

    Attributes:
        public: Public key.
        secret: Secret key.
    """

    public: bytes
    secret: bytes


def create_key_files(folder: pathlib.Path) -> pathlib.Path:
    """Create the key pair of a deployment.

    Args:
        folder: Folder for the key files, created if missing.

    Returns:
        The file with the secret key, readable by its owner only.
    """
    folder.mkdir(parents=True, exist_ok=True)
    _public, secret = zmq.auth.create_certificates(folder, KEY_PAIR_NAME)
    path = pathlib.Path(secret)
    path.chmod(FILE_MODE)
    return path


def load_keys(path: pathlib.Path) -> LinkKeys:
    """Load the key pair of a deployment.

    Args:
        path: The file with the secret key.

    Returns:
        The keys.

    Raises:
        ValueError: If the file contains no secret key.
    """
    public, secret = zmq.auth.load_certificate(path)
    if secret is None:
        raise ValueError(f'{path} contains no secret key')
    return LinkKeys(public, secret)


class _SharedKeyProvider:
    __slots__ = ('_public',)

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, _domain: str, key: bytes) -> bool:
        """Accept a client only if its key is the shared one."""
        return key == self._public


def secure_server(
    context: zmq.Context[zmq.Socket[bytes]],
    socket: zmq.Socket[bytes],
    keys: LinkKeys,
) -> ThreadAuthenticator:
    """Accept only clients with the key of the deployment.

    Args:
        context: The context of the socket.
        socket: A socket that is not bound yet.
        keys: The keys.

    Returns:
        The running authenticator, to be stopped by the caller.
    """
    authenticator = ThreadAuthenticator(context)
    authenticator.start()
    authenticator.configure_curve_callback(
        domain='*',
        credentials_provider=_SharedKeyProvider(keys.public),
    )
    socket.curve_publickey = keys.public
    socket.curve_secretkey = keys.secret
    socket.curve_server = True
    return authenticator


def secure_client(socket: zmq.Socket[bytes], keys: LinkKeys) -> None:
    """Authenticate with the key of the deployment and require it of the server.

    Args:
        socket: A socket that is not connected yet.
        keys: The keys.
    """
    socket.curve_publickey = keys.public
    socket.curve_secretkey = keys.secret
    socket.curve_serverkey = keys.public
