"""Entry host of the soak test."""

from __future__ import annotations

import collections.abc
import json
import pathlib
import subprocess

from tests.faults import links
from tests.faults import peer_links
from tests.faults import proxy as proxies

REGION_BY_DOMAIN = {'a': 'north', 'b': 'north', 'c': 'south', 'd': 'south'}


class Host:
    """Entry host: a daemon, its settings and its proxy to the store."""

    def __init__(self, number: int, folder: pathlib.Path) -> None:
        self.name = f'h{number}'
        self.ip = f'127.1.{number // 200}.{number % 200 + 1}'
        self.domain = 'abcd'[number % 4]
        self.region = REGION_BY_DOMAIN[self.domain]
        self.store_proxy = proxies.Proxy()
        self.settings_path = folder / f'{self.name}.json'
        self.log_path = folder / f'{self.name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.is_enabled = True
        self.incarnation = 0
        self.started_ms = 0
        self.down_since_ms: int | None = None

    def set_links(self, mode: str) -> None:
        """Cut the links to all targets, or heal them if there is no mode."""
        self.settings_path.with_suffix(links.SUFFIX).write_text(mode)

    def cut_peers(self, ips: collections.abc.Collection[str]) -> None:
        """Let nothing arrive from the daemons at some addresses."""
        path = self.settings_path.with_suffix(peer_links.SUFFIX)
        path.write_text(json.dumps(sorted(ips)))

    def address(self, port: int) -> str:
        """Return the `IP:PORT` of a port on this host."""
        return f'{self.ip}:{port}'
