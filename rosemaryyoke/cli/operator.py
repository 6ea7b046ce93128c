"""What the operators' commands share: how hosts are asked."""

import argparse
from pathlib import Path

from result import Err, Ok, Result

from rosemaryyoke.settings import operator_key
from rosemaryyoke.wire import HttpRequest, json_request, send

ASK_TIMEOUT_S = 2.0


def add_host_arguments(parser: argparse.ArgumentParser, required: bool = True) -> None:
    """Add the arguments that name a host and the file with the shared key."""
    parser.add_argument("--host", required=required, help="any host, as 10.0.0.1:8000")
    parser.add_argument(
        "--key-file",
        required=required,
        type=Path,
        help="file with the hosts' shared key",
    )


def read_operator_key(path: Path) -> str:
    """Return the operator key that follows from the shared key in a file."""
    return operator_key(path.read_text(encoding="utf-8").strip())


def ask_host(address: str, path: str, key: str) -> Result[dict, str]:
    """Return what a host answers an operator."""
    headers = {"Authorization": f"Bearer {key}"}
    url = f"http://{address}{path}"
    return _read(address, HttpRequest("GET", url, headers, timeout_s=ASK_TIMEOUT_S))


def tell_host(address: str, path: str, key: str, value: object) -> Result[dict, str]:
    """Return what a host answers to what an operator tells it."""
    headers = {"Authorization": f"Bearer {key}"}
    url = f"http://{address}{path}"
    call = json_request("POST", url, value, headers=headers, timeout_s=ASK_TIMEOUT_S)
    return _read(address, call)


def _read(address: str, call: HttpRequest) -> Result[dict, str]:
    answer = send(call)
    if isinstance(answer, Err):
        return Err(f"{address}: {answer.err_value.message}")
    if not answer.ok_value.ok:
        return Err(f"{address}: status {answer.ok_value.status}")
    return Ok(answer.ok_value.json())
