"""An entry of another writer holds a name where a port number is due."""

from __future__ import annotations

import json
import pathlib

from review.standins import foreign_entry
from review.standins import main
from review.standins import scene as scenes


def _build_entry(scene: scenes.Scene) -> bytes:
    entry = scene.instances[0].describe()
    entry['address'] = '127.0.0.1:http'
    return json.dumps(entry).encode()


async def _run() -> int:
    folder = pathlib.Path(__file__).parent
    return await foreign_entry.run(folder, _build_entry)


if __name__ == '__main__':
    main.run(_run)
