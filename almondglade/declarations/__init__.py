"""The document that operators declare, as validated models."""

from .loading import load_declarations, parse_declarations
from .models import Allowance, Declarations, Plan, Service, Target, Workspace

__all__ = [
    "Allowance",
    "Declarations",
    "Plan",
    "Service",
    "Target",
    "Workspace",
    "load_declarations",
    "parse_declarations",
]
