"""Tell what a new document changes against the one in force."""

from dataclasses import dataclass

from pydantic import BaseModel


@dataclass(frozen=True)
class Change:
    """One difference between two documents.

    Parameters
    ----------
    place : str
        Path in the document.
    before, after : object
        Values on either side; None where the place does not exist.
    """

    place: str
    before: object
    after: object

    def __str__(self):
        if self.before is None:
            return f"{self.place}: added {_shown(self.after)}"
        if self.after is None:
            return f"{self.place}: removed"
        return f"{self.place}: {_shown(self.before)} -> {_shown(self.after)}"


def changes_between(old, new):
    """Return all differences, in the order of the places.

    Parameters
    ----------
    old, new : Declarations
        Two valid documents.

    Returns
    -------
    list of Change
        Empty if the documents say the same.
    """
    return list(_compare("", old.model_dump(), new.model_dump()))


def warnings_of(new):
    """Yield what is valid but probably not meant.

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
        f"plans.{name}: no workspace holds it" for name in new.plans.keys() - used
    )
    yield from (
        f"workspaces.{name}: has no key, nobody can call for it"
        for name, workspace in new.workspaces.items()
        if not workspace.keys
    )


def _compare(place, old, new):
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            below = f"{place}.{key}" if place else key
            yield from _compare(below, old.get(key), new.get(key))
    elif old != new:
        yield Change(place, old, new)


def _shown(value):
    if isinstance(value, BaseModel | dict):
        return (
            "{" + ", ".join(f"{k}: {_shown(v)}" for k, v in dict(value).items()) + "}"
        )
    return str(value)
