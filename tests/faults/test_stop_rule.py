"""Tests of the rule on the accounts of stops."""

from __future__ import annotations

import json
import pathlib

from tests.faults import stop_rule

STOPPED = {'message': 'stopped', 'in_progress': 0, 'unsent_bytes': 0}


def test_cut_exchanges_are_found(tmp_path: pathlib.Path) -> None:
    """Guards against a rule that overlooks what a stop has cut."""
    cuts = [
        {'message': 'exchange cut', 'request_id': 'r1'},
        {'message': 'request cut', 'request_id': 'r2'},
        STOPPED | {'in_progress': 1},
        STOPPED | {'unsent_bytes': 1},
    ]
    path = tmp_path / 'h1.log'
    path.write_text(
        '\n'.join(map(json.dumps, [STOPPED, *cuts])) + '\nTraceback\n{"mess'
    )
    assert len(list(stop_rule.find_cuts([path]))) == len(cuts)
