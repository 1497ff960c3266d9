"""Calls from one control server to the others: short times, bounded answers, checked once."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from brackenloft.configuration import codec
from brackenloft.configuration.messages import LONGEST_ANSWER_BYTES
from brackenloft.configuration.server_config import ControlPeer

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0  # default, from the first byte of a request to the last of its answer
CONNECTIONS_PER_PEER = 16
IDLE_S = 30.0
READ_BYTES = 64 * 1024
THREAD_BYTES = 32 * 1024  # messages beyond it are encoded and decoded in a thread
OK_STATUS = 200
CONTENT_TYPE = "application/octet-stream"


class PeerError(Exception):
    """A peer gave no answer that can be used, and why."""


class Peers:
    """All other control servers, by name. Open within a running loop."""

    def __init__(self, peers: tuple[ControlPeer, ...], region: str) -> None:
        self.by_name = {peer.name: peer for peer in peers}
        self.nearest = tuple(sorted(self.by_name, key=lambda name: self.by_name[name].region != region))
        connector = aiohttp.TCPConnector(
            limit=CONNECTIONS_PER_PEER * max(1, len(peers)),
            limit_per_host=CONNECTIONS_PER_PEER,
            keepalive_timeout=IDLE_S,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            auto_decompress=False,
        )

    async def call(
        self,
        peer: str,
        path: str,
        message: object,
        kind: Any,
        timeout_s: float = CALL_TIMEOUT_S,
        longest_bytes: int = LONGEST_ANSWER_BYTES,
    ) -> Any:
        """A peer's answer of this type; PeerError for whatever else comes of it, within the time."""
        return await self.send(peer, path, codec.encode(message), kind, timeout_s, longest_bytes)

    async def send(
        self,
        peer: str,
        path: str,
        body: bytes,
        kind: Any,
        timeout_s: float = CALL_TIMEOUT_S,
        longest_bytes: int = LONGEST_ANSWER_BYTES,
    ) -> Any:
        """As ``call``, with a message that is encoded already."""
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._post(peer, path, body, codec.most_encoded_bytes(longest_bytes))
                return await decode(answer, kind, longest_bytes)
        except TimeoutError as error:
            raise PeerError(f"no answer within {timeout_s:g} s") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise PeerError(f"{type(error).__name__}: {error!s:.200}") from error

    async def _post(self, peer: str, path: str, body: bytes, most_bytes: int) -> bytes:
        url = self.by_name[peer].url.rstrip("/") + path
        headers = {"Content-Type": CONTENT_TYPE}
        async with self._session.post(url, data=body, headers=headers, allow_redirects=False) as response:
            if response.status != OK_STATUS:
                raise PeerError(f"status {response.status}")
            parts, length = [], 0
            while part := await response.content.read(READ_BYTES):
                parts.append(part)
                length += len(part)
                if length > most_bytes:
                    response.close()
                    raise PeerError(f"an answer of more than {most_bytes} bytes")
            return b"".join(parts)

    async def close(self) -> None:
        """End all connections."""
        await self._session.close()


async def decode(data: bytes, kind: Any, longest_bytes: int) -> Any:
    """A message, decoded in a thread where it is long. CodecError if it is none."""
    if len(data) > THREAD_BYTES:
        return await asyncio.to_thread(codec.decode, data, kind, longest_bytes)
    return codec.decode(data, kind, longest_bytes)
