"""Show the whole path on one machine: rules, three hosts, a stream, a service call."""

import sys

from rosemaryyoke.testing.builders import System, api_key, long_prompt


def show(title: str, text: str) -> None:
    """Print one step of the demo."""
    print(f"\n== {title}\n{text.rstrip()}")


def main() -> int:
    """Run the demo and return 0 if every step succeeded."""
    with System(engines=2, services=2, hosts=3) as system:
        host = system.address("host0")
        rules = system.folder / "rules.txt"
        extra = "limit account=* requests_per_s=500 # Ana, fair use\n"
        rules.write_text(system.rules_text() + extra)
        operator = ("--host", host, "--key-file", str(system.key_file))
        platform = ("--platform", system.address("platform"))
        caller = {"ROSEMARYYOKE_API_KEY": api_key("cedar")}
        prompt = long_prompt("FSC-STD-40-004", "2.1", "Was the outsourcing declared?")
        chat = ("call", "--host", host, "--model", "m", "--prompt", prompt)
        issue = ("call", "--host", host, "--service", "records", "--key", "cert-17")
        steps = (
            ("check the rules", ("check", str(rules)), {}),
            ("apply the rules", ("apply", str(rules), *platform, *operator), {}),
            ("status", ("status", *operator), {}),
            ("a first completion", (*chat, "--max-tokens", "12"), caller),
            ("the same prompt again", (*chat, "--max-tokens", "12"), caller),
            ("issue a certificate", (*issue, "--path", "/certificates"), caller),
            ("the same key again", (*issue, "--path", "/certificates"), caller),
        )
        failed = 0
        for title, arguments, variables in steps:
            done = system.command(*arguments, **variables)
            show(title, done.stdout + done.stderr)
            failed += done.returncode != 0
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
