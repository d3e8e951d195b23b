"""Servers of an edge daemon."""

from __future__ import annotations

import typing

from wigeonhatch.entry import directory
from wigeonhatch.entry import edge_settings
from wigeonhatch.entry import http_server
from wigeonhatch.requests import edge
from wigeonhatch.requests import server as request_server


def build_servers(
    settings: edge_settings.EdgeSettings,
    protocol: type[request_server.BoundedProtocol],
    caller_application: edge.EdgeApplication,
    peer_application: edge.EdgeApplication,
    directory_application: directory.DirectoryApplication,
) -> list[http_server.HttpServer]:
    """Build the servers of all interfaces.

    Args:
        settings: Settings of the host.
        protocol: Protocol class with the limits of the callers' interface.
        caller_application: Takes the requests of callers.
        peer_application: Takes the requests that peers forward.
        directory_application: Serves readiness, lookups, metrics and rows.
    """
    request_servers = (
        http_server.HttpServer(
            request_server.build_server_config(
                typing.cast(typing.Any, application), address, protocol
            )
        )
        for application, address in (
            (caller_application, settings.caller_address),
            (peer_application, f'{settings.ip}:{settings.peer_port}'),
        )
    )
    addresses = (
        settings.readiness_address,
        settings.directory_address,
        settings.peer_address,
    )
    return [
        *request_servers,
        *(
            http_server.build_server(directory_application, address)
            for address in addresses
        ),
        http_server.build_server(
            directory_application,
            f'{settings.ip}:{settings.metrics_port}',
            is_optional=True,
        ),
    ]
