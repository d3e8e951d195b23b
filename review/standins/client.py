"""Stand-in for clients: one request on a new connection."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

from review.standins import http1
from review.standins import instance as instances
from review.standins import scene as scenes


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a client saw of a request.

    Args:
        request_id: Its ID.
        sent_s: Time at which the client began to send it.
        ended_s: Time of the answer or of the end of the connection.
        status: Status; 0 if there was no complete answer.
        is_genuine: Whether the answer has an instance's signature and body.
        reason: Why there was no complete answer.
    """

    request_id: str
    sent_s: float
    ended_s: float
    status: int
    is_genuine: bool
    reason: str


async def send(
    scene: scenes.Scene,
    address: str,
    request_id: str,
    method: str,
    path: str,
    deadline_s: float,
    body: bytes = b'',
) -> Outcome:
    """Send a request and wait for its answer.

    Args:
        scene: The deployment.
        address: `IP:PORT` of a daemon.
        request_id: ID of the request.
        method: HTTP method.
        path: Path.
        deadline_s: Time that the client waits.
        body: Body.
    """
    ip, _, port = address.rpartition(':')
    head = {
        'Host': scenes.HOST_NAME,
        'Request-Id': request_id,
        'Affinity-Key': path.rpartition('/')[2],
        'Deadline-Ms': f'{deadline_s * 1_000:.0f}',
    }
    sent_s = scene.now_s
    status, is_genuine, reason = 0, False, ''
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            with contextlib.closing(writer):
                writer.write(
                    http1.encode(f'{method} {path} HTTP/1.1', head, body)
                )
                scene.record(request_id, 'sent', address)
                answer = await http1.read_message(reader)
        status = answer.status
        named = answer.fields.get('instance-id', '')
        is_genuine = answer.fields.get('response-signature') == instances.sign(
            request_id, named
        ) and answer.body == instances.make_body(request_id)
    except TimeoutError:
        reason = 'time limit'
    except asyncio.IncompleteReadError:
        reason = 'closed'
    except ConnectionRefusedError:
        reason = 'refused'
    except OSError as error:
        reason = type(error).__name__
    scene.record(
        request_id,
        'answered' if status else 'unanswered',
        f'{status or reason} {"genuine" if is_genuine else ""}'.strip(),
    )
    return Outcome(request_id, sent_s, scene.now_s, status, is_genuine, reason)
