"""The ``settings`` command, which prints the documentation of all settings."""

from ..settings import ENVIRONMENT_PREFIX, Settings

NO_FLAG = frozenset({"peer_secret"})


def settings():
    """Print all settings of an instance as a Markdown table."""
    print("\n".join(table()))


def table():
    """Return the lines of the table, generated from the settings model."""
    lines = [
        "| flag | variable | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for name, field in Settings.model_fields.items():
        flag = "none" if name in NO_FLAG else f"`--{name.replace('_', '-')}`"
        default = "required" if field.is_required() else f"`{field.default}`"
        variable = f"`{ENVIRONMENT_PREFIX}{name.upper()}`"
        lines.append(f"| {flag} | {variable} | {default} | {field.description} |")
    return lines
