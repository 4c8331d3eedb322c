"""Keys of the links: CURVE, with one shared list of public keys.

A process has its own key pair and a folder with the public key of each
process that it talks to. A stranger's message never reaches the decoder.
"""

import pathlib

import msgspec
import zmq
import zmq.auth
from zmq.auth.thread import ThreadAuthenticator

KEY_PAIR_NAME = 'shared'
FILE_MODE = 0o600


class LinkKeys(msgspec.Struct, frozen=True):
    """Keys of a process.

    Attributes:
        public: Public key of the key pair.
        secret: Secret key of the key pair.
    """

    public: bytes
    secret: bytes


def create_key_files(folder: pathlib.Path) -> pathlib.Path:
    """Create the key pair of a deployment.

    Args:
        folder: Where to write it; made if missing.

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
        ValueError: If the file holds no secret key.
    """
    public, secret = zmq.auth.load_certificate(path)
    if secret is None:
        raise ValueError(f'{path} holds no secret key')
    return LinkKeys(public, secret)


class _SharedKeyProvider:
    __slots__ = ('_public',)

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, _domain: str, key: bytes) -> bool:
        """Accept a client only if it proves to hold the shared key."""
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
        The authenticator, which runs until its context ends.
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
    """Prove the key of the deployment and ask the server for it.

    Args:
        socket: A socket that is not connected yet.
        keys: The keys.
    """
    socket.curve_publickey = keys.public
    socket.curve_secretkey = keys.secret
    socket.curve_serverkey = keys.public
