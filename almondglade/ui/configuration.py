"""Check a configuration of the platform and print what was found."""

import json
import sys
from contextlib import redirect_stdout
from dataclasses import replace

from ..configcheck.changes import changes_to
from ..configcheck.drafts import Report, Severity
from ..configcheck.findings import find_problems
from ..platform.draftreader import locate, read_draft

EXIT_VALID = 0
EXIT_WARNINGS = 1
EXIT_INVALID = 2
# Widest column of the table of changes, characters.
MAX_COLUMN = 60
# Findings shown to people, errors first.
MAX_SHOWN = 100
HEADINGS = ("what", "in force", "new")


def check_configuration(file, against, intent, *, strict, as_json):
    """Check a configuration, print the report and return the exit status.

    Parameters
    ----------
    file : str
        The configuration to check.
    against : str or None
        The version in force.
    intent : Intent
        What the deployment is set to do.
    strict : bool
        Whether warnings change the exit status.
    as_json : bool
        Whether to print JSON.
    """
    # Standard output is for the report alone, which may be JSON; not for log lines.
    with redirect_stdout(sys.stderr):
        report = _check(file, against, intent)
    errors, warnings = map(report.texts_of, Severity)
    if as_json:
        print(json.dumps(_as_mapping(file, report), indent=2))
    else:
        print("\n".join(_lines(file, report)))
    if errors:
        return EXIT_INVALID
    return EXIT_WARNINGS if warnings and strict else EXIT_VALID


def _check(file, against, intent):
    draft, findings = read_draft(file)
    in_force, former_findings = read_draft(against) if against else (None, [])
    findings += [
        replace(finding, place=": ".join(filter(None, (against, finding.place))))
        for finding in former_findings
    ]
    if draft is not None:
        findings += map(locate, find_problems(draft, intent, in_force))
    if draft is None or in_force is None:
        return Report(findings)
    return Report(findings, changes_to(in_force, draft))


def _as_mapping(file, report):
    errors, warnings = (
        [{"place": finding.place, "text": finding.text} for finding in findings]
        for findings in map(report.texts_of, Severity)
    )
    return {
        "file": file,
        "valid": not errors,
        "errors": errors,
        "warnings": warnings,
        "changes": None
        if report.changes is None
        else [vars(change) for change in report.changes],
    }


def _lines(file, report):
    for finding in report.findings[:MAX_SHOWN]:
        place = f"{finding.place}: " if finding.place else ""
        yield f"{finding.severity}: {_printable(place + finding.text)}"
    if len(report.findings) > MAX_SHOWN:
        yield f"and {len(report.findings) - MAX_SHOWN} more (--json shows all)"
    if report.changes:
        rows = [
            (change.path, *map(_value_text, (change.before, change.after)))
            for change in report.changes
        ]
        yield from _table([HEADINGS, *rows])
    elif report.changes is not None:
        yield "no changes"
    errors, warnings = (len(report.texts_of(severity)) for severity in Severity)
    verdict = "not valid" if errors else "valid"
    yield f"{file}: {verdict} ({errors} errors, {warnings} warnings)"


def _table(rows):
    rows = [tuple(_shorten(_printable(cell)) for cell in row) for row in rows]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()


def _value_text(value):
    if value is None:
        return "-"
    if isinstance(value, dict):
        return ", ".join(f"{name}={_value_text(item)}" for name, item in value.items())
    return str(value)


def _shorten(text):
    return text if len(text) <= MAX_COLUMN else text[: MAX_COLUMN - 3] + "..."


def _printable(text):
    # Names in a file must not control the terminal.
    return "".join(char if char.isprintable() else ascii(char)[1:-1] for char in text)
