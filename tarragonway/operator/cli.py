"""The program ``tarragonway``."""

import argparse
import asyncio
import pathlib
import secrets
import sys
from typing import NoReturn

import msgspec

from tarragonway import __version__
from tarragonway.core.errors import SettingsError, TarragonwayError
from tarragonway.core.hashes import hash_secret
from tarragonway.lists import check_lists, compute_diff
from tarragonway.lists.check import ACCOUNTS_NAME, PLANS_NAME
from tarragonway.operator.client import OperatorClient, Reply
from tarragonway.operator.validate import add_validate_parser
from tarragonway.settings.load import load_cluster

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_DIFFERENT = 3
EXIT_CONFLICT = 4
EXIT_NOT_IN_FORCE = 5

IN_FORCE_TIMEOUT_S = 11.0
IN_FORCE_POLL_INTERVAL_S = 0.25

_EPILOG = """exit codes (validate has its own, see there):
  0  done
  1  a process did not answer, or the request was refused
  2  unusable arguments, settings or lists
  3  diff: the lists differ from those in force
  4  apply: another change was applied first; nothing was applied
  5  apply: applied, but not in force in every process within the timeout
"""


class _Parser(argparse.ArgumentParser):
    """A parser whose commands may have an exit code of their own for wrong usage."""

    def error(self, message: str) -> NoReturn:
        """Print the usage and the message, and exit."""
        self.print_usage(sys.stderr)
        status = self.get_default("usage_exit") or EXIT_USAGE
        self.exit(status, f"{self.prog}: error: {message}\n")


def main() -> None:
    """Run the program."""
    raise SystemExit(run(sys.argv[1:]))


def run(command_line: list[str]) -> int:
    """Run the command given as ``command_line`` and return its exit code."""
    parser = _make_parser()
    arguments, unknown = parser.parse_known_args(command_line)
    if unknown:
        parser.set_defaults(usage_exit=getattr(arguments, "usage_exit", None))
        parser.error(f"unrecognized arguments: {' '.join(unknown)}")
    try:
        return arguments.handle(arguments)
    except SettingsError as error:
        print(f"tarragonway: {error}", file=sys.stderr)
        return EXIT_USAGE
    except (TarragonwayError, OSError) as error:
        print(f"tarragonway: {error}", file=sys.stderr)
        return EXIT_FAILED


def _make_parser() -> argparse.ArgumentParser:
    parser = _Parser(
        "tarragonway",
        description="Operate a tarragonway deployment.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    check = commands.add_parser("check", help="check the two lists in a folder")
    _add_folder_argument(check)
    check.set_defaults(handle=_check)
    diff = commands.add_parser("diff", help="compare the lists with those in force")
    _add_folder_argument(diff)
    _add_cluster_argument(diff)
    diff.set_defaults(handle=_diff)
    apply = commands.add_parser("apply", help="put the lists into force")
    _add_folder_argument(apply)
    _add_cluster_argument(apply)
    apply.add_argument(
        "--expect",
        type=int,
        help="revision that the change is based on (default: the one in force)",
    )
    apply.add_argument(
        "--change",
        help="id of the change (default: random); a resend with the same id applies "
        "nothing new",
    )
    apply.set_defaults(handle=_apply)
    status = commands.add_parser("status", help="show each process on one line")
    _add_cluster_argument(status)
    status.set_defaults(handle=_status)
    dump = commands.add_parser("dump", help="print the state of a process as JSON")
    _add_cluster_argument(dump)
    dump.add_argument("process", help="name of the process")
    dump.set_defaults(handle=_dump)
    drain = commands.add_parser("drain", help="mark endpoints permanently as leaving")
    _add_cluster_argument(drain)
    drain.add_argument("endpoint", nargs="+", help="endpoint ids")
    drain.set_defaults(handle=_drain)
    add_validate_parser(commands)
    keygen = commands.add_parser("keygen", help="generate a key and print its digest")
    keygen.set_defaults(handle=_keygen)
    return parser


def _add_folder_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "folder", type=pathlib.Path, help=f"folder of {ACCOUNTS_NAME} and {PLANS_NAME}"
    )


def _add_cluster_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--cluster",
        type=pathlib.Path,
        default=pathlib.Path("cluster.toml"),
        help="file of the cluster settings (default: cluster.toml); the operator key "
        "is read from TARRAGONWAY_OPERATOR_KEY",
    )


def _read_lists(folder: pathlib.Path) -> tuple[str, str]:
    texts = []
    for name in (ACCOUNTS_NAME, PLANS_NAME):
        path = folder / name
        try:
            texts.append(path.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(
                str(path), f"cannot be read ({error})", "check the path"
            ) from error
    check_lists(*texts)
    return texts[0], texts[1]


def _open_client(arguments: argparse.Namespace) -> OperatorClient:
    return OperatorClient(load_cluster(arguments.cluster))


def _check(arguments: argparse.Namespace) -> int:
    lists = check_lists(*_read_lists(arguments.folder))
    print(
        f"{arguments.folder}: {len(lists.accounts)} accounts, "
        f"{len(lists.plans)} plans, {len(lists.services)} services; no faults"
    )
    return EXIT_OK


def _diff(arguments: argparse.Namespace) -> int:
    texts = _read_lists(arguments.folder)
    client = _open_client(arguments)
    reply = asyncio.run(client.call_control("GET", "/admin/lists"))
    return EXIT_DIFFERENT if _print_diff(reply, texts) else EXIT_OK


def _print_diff(reply: Reply, texts: tuple[str, str]) -> bool:
    content = reply.content
    first = compute_diff(ACCOUNTS_NAME, content["accounts"], texts[0])
    second = compute_diff(PLANS_NAME, content["plans"], texts[1])
    print(first + second, end="")
    if not first + second:
        print(f"no difference from revision {content['revision']}")
    return bool(first or second)


def _apply(arguments: argparse.Namespace) -> int:
    return asyncio.run(_apply_lists(arguments))


async def _apply_lists(arguments: argparse.Namespace) -> int:
    texts = _read_lists(arguments.folder)
    client = _open_client(arguments)
    expected = arguments.expect
    if expected is None:
        current = await client.call_control("GET", "/admin/lists")
        expected = current.content["revision"]
    body = {
        "change": arguments.change or secrets.token_hex(8),
        "expected": expected,
        "accounts": texts[0],
        "plans": texts[1],
    }
    reply = await client.call_control("POST", "/admin/lists", body)
    if reply.status == 409:
        return _print_conflict(reply, expected)
    if reply.status != 200:
        problem = reply.content.get("problem", reply.content)
        print(f"refused: {problem}", file=sys.stderr)
        return EXIT_FAILED
    revision = reply.content["revision"]
    print(f"applied as revision {revision}")
    return await _wait_in_force(client, revision)


def _print_conflict(reply: Reply, expected: int) -> int:
    content = reply.content
    print(
        f"not applied: the change is based on revision {expected}, but revision "
        f"{content['revision']} by {content['author']} is in force. "
        "Compare them with 'tarragonway diff', then apply again.",
        file=sys.stderr,
    )
    return EXIT_CONFLICT


async def _wait_in_force(client: OperatorClient, revision: int) -> int:
    loop = asyncio.get_running_loop()
    started = loop.time()
    while True:
        replies = await client.call_all("/admin/revision")
        behind = [n for n, r in replies.items() if _get_revision(r) < revision]
        waited_s = loop.time() - started
        if not behind:
            print(f"in force in {len(replies)} processes after {waited_s:.2f} s")
            return EXIT_OK
        if waited_s > IN_FORCE_TIMEOUT_S:
            count = len(replies) - len(behind)
            print(
                f"in force in {count} of {len(replies)} processes; "
                f"not confirmed by: {', '.join(behind)}",
                file=sys.stderr,
            )
            return EXIT_NOT_IN_FORCE
        await asyncio.sleep(IN_FORCE_POLL_INTERVAL_S)


def _get_revision(reply: Reply | str) -> int:
    if isinstance(reply, str) or reply.status != 200:
        return -1
    return reply.content.get("revision", -1)


def _status(arguments: argparse.Namespace) -> int:
    replies = asyncio.run(_open_client(arguments).call_all("/admin/dump"))
    print(f"{'process':<14}{'zone':<18}{'role':<12}{'revision':>8}  state")
    failed = 0
    for name, reply in replies.items():
        if isinstance(reply, str) or reply.status != 200:
            failed += 1
            detail = reply if isinstance(reply, str) else reply.status
            print(f"{name:<14}{'-':<18}{'-':<12}{'-':>8}  no answer: {detail}")
            continue
        print(_format_status(name, reply))
    return EXIT_FAILED if failed else EXIT_OK


def _format_status(name: str, reply: Reply) -> str:
    content = reply.content
    if "role" in content:
        state = f"commit {content['commit']}, {len(content['voters'])} voters"
        role = content["role"]
    else:
        ready = "ready" if content["ready"] else "not ready"
        state = f"{ready}, {content['running']} running"
        role = "entry"
    return f"{name:<14}{content['zone']:<18}{role:<12}{content['revision']:>8}  {state}"


def _dump(arguments: argparse.Namespace) -> int:
    replies = asyncio.run(_open_client(arguments).call_all("/admin/dump"))
    reply = replies.get(arguments.process)
    if reply is None:
        print(
            f"tarragonway: the cluster settings list no process {arguments.process!r}",
            file=sys.stderr,
        )
        return EXIT_USAGE
    if isinstance(reply, str) or reply.status != 200:
        print(f"tarragonway: {arguments.process}: {reply}", file=sys.stderr)
        return EXIT_FAILED
    text = msgspec.json.format(msgspec.json.encode(reply.content))
    print(text.decode(errors="replace"))
    return EXIT_OK


def _drain(arguments: argparse.Namespace) -> int:
    client = _open_client(arguments)
    body = {"endpoints": arguments.endpoint}
    reply = asyncio.run(client.call_control("POST", "/admin/drain", body))
    if reply.status != 200:
        print(f"refused: {reply.content}", file=sys.stderr)
        return EXIT_FAILED
    print(f"leaving: {', '.join(reply.content['changed']) or 'no endpoint changed'}")
    return EXIT_OK


def _keygen(arguments: argparse.Namespace) -> int:
    key = secrets.token_hex(32)
    print(f"key    {key}")
    print(f"sha256 {hash_secret(key)}")
    return EXIT_OK
