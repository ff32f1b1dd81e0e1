"""The operator's file that turns parts for hard load on or off."""

import pathlib

import pydantic

from sesamespindle.decide import loadparts
from sesamespindle.declare import findings, yamlfile


class _Choices(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    queues: loadparts.Choice = loadparts.Choice.AUTO
    keepers: loadparts.Choice = loadparts.Choice.AUTO
    weighted_hosts: loadparts.Choice = loadparts.Choice.AUTO


def load(path):
    """Return the `loadparts.Choice` of each `loadparts.Part` by a YAML file.

    Parameters
    ----------
    path : str or pathlib.Path
        A mapping of parts to ``auto``, ``on`` or ``off``. YAML takes the last two for
        truth values, and these mean the same. Parts that are left out are ``auto``.

    Raises
    ------
    findings.FindingsError
        If the file can't be read, or names an unknown part or choice.
    """
    try:
        text = pathlib.Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise findings.FindingsError(
            [findings.Finding(str(path), 1, 1, "unreadable", str(error))]
        ) from error
    chosen = {}
    for document in yamlfile.read(str(path), text):
        _replace_truth_values(document)
        choices, found = yamlfile.check(document, _Choices)
        if found:
            raise findings.FindingsError(found)
        chosen |= choices.model_dump(exclude_unset=True)
    return {loadparts.Part(name): choice for name, choice in chosen.items()}


def _replace_truth_values(document):
    if not isinstance(document.value, dict):
        return
    word_by_value = {True: "on", False: "off"}
    document.value = {
        key: word_by_value[value] if isinstance(value, bool) else value
        for key, value in document.value.items()
    }
