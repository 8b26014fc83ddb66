"""Differences between a new document and the one in force, and warnings about it."""

from dataclasses import dataclass

from pydantic import BaseModel


@dataclass(frozen=True)
class Change:
    """One difference between two documents.

    Parameters
    ----------
    path : str
        Path in the document.
    before, after : object
        Values in the old and the new document; None if the path does not exist.
    """

    path: str
    before: object
    after: object

    def __str__(self):
        if self.before is None:
            return f"{self.path}: added {_format_value(self.after)}"
        if self.after is None:
            return f"{self.path}: removed"
        return (
            f"{self.path}: {_format_value(self.before)} -> {_format_value(self.after)}"
        )


def changes_between(old, new):
    """Return all differences, ordered by path.

    Parameters
    ----------
    old, new : Declarations
        Two valid documents.

    Returns
    -------
    list of Change
        Empty if the documents are equivalent.
    """
    return list(find_changes("", old.model_dump(), new.model_dump()))


def warnings_of(new):
    """Yield warnings about declarations that are valid but probably unintended.

    Parameters
    ----------
    new : Declarations
        A valid document.
    """
    for name in new.services:
        targets = new.targets_of(name)
        serving = [target for target in targets if new.takes_new_work(target)]
        if targets and not serving:
            yield f"services.{name}: no target takes new work"
        elif not targets:
            yield f"services.{name}: has no targets"
    used = {workspace.plan for workspace in new.workspaces.values()}
    yield from (
        f"plans.{name}: no workspace uses it" for name in new.plans.keys() - used
    )
    yield from (
        f"workspaces.{name}: has no key, nobody can call for it"
        for name, workspace in new.workspaces.items()
        if not workspace.keys
    )


def find_changes(path, old, new):
    """Yield the differences between two nested mappings, ordered by path.

    Parameters
    ----------
    path : str
        Path of both in their documents; empty at the top level.
    old, new : object
        Mappings, or values that are compared as a whole.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            child_path = f"{path}.{key}" if path else key
            yield from find_changes(child_path, old.get(key), new.get(key))
    elif old != new:
        yield Change(path, old, new)


def _format_value(value):
    if isinstance(value, BaseModel | dict):
        return (
            "{"
            + ", ".join(f"{k}: {_format_value(v)}" for k, v in dict(value).items())
            + "}"
        )
    return str(value)
