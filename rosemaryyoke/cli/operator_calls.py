"""Operator requests to hosts, shared by several commands."""

import argparse
from pathlib import Path

from result import Err, Ok, Result

from rosemaryyoke.settings import operator_key
from rosemaryyoke.wire import HttpRequest, json_request, send

HOST_TIMEOUT_S = 2.0


def add_host_arguments(parser: argparse.ArgumentParser, required: bool = True) -> None:
    """Add the arguments for the host address and the shared key file."""
    parser.add_argument(
        "--host", required=required, help="address of any host, e.g. 10.0.0.1:8000"
    )
    parser.add_argument(
        "--key-file",
        required=required,
        type=Path,
        help="file with the shared key of the hosts",
    )


def read_operator_key(path: Path) -> str:
    """Return the operator key derived from the shared key in a file."""
    return operator_key(path.read_text(encoding="utf-8").strip())


def get_from_host(address: str, path: str, key: str) -> Result[dict, str]:
    """Send an operator GET request to a host and return the decoded JSON."""
    headers = {"Authorization": f"Bearer {key}"}
    url = f"http://{address}{path}"
    return _send_to_host(
        address, HttpRequest("GET", url, headers, timeout_s=HOST_TIMEOUT_S)
    )


def post_to_host(address: str, path: str, key: str, value: object) -> Result[dict, str]:
    """Send an operator POST request to a host and return the decoded JSON."""
    headers = {"Authorization": f"Bearer {key}"}
    url = f"http://{address}{path}"
    call = json_request("POST", url, value, headers=headers, timeout_s=HOST_TIMEOUT_S)
    return _send_to_host(address, call)


def _send_to_host(address: str, call: HttpRequest) -> Result[dict, str]:
    response = send(call)
    if isinstance(response, Err):
        return Err(f"{address}: {response.err_value.message}")
    if not response.ok_value.ok:
        return Err(f"{address}: status {response.ok_value.status}")
    return Ok(response.ok_value.json())
