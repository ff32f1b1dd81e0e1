"""Reading YAML documents together with the position of every value."""

import dataclasses
import difflib

import pydantic
import yaml

from sesamespindle.declare import findings

_CODE_BY_PYDANTIC_TYPE = {
    "extra_forbidden": "unknown_key",
    "missing": "missing_key",
    "wrong_unit": "wrong_unit",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """A position in a file; line and column start at 1."""

    line: int
    column: int


@dataclasses.dataclass(slots=True)
class Document:
    """One YAML document and the positions of its values.

    Attributes
    ----------
    file : str
        The file that findings name.
    value : object
        The plain value: mappings, sequences and scalars.
    position_by_path : dict of tuple to Position
        Positions of values, by the path of keys and indices from the document's root.
    """

    file: str
    value: object
    position_by_path: dict

    def position(self, path):
        """Return the position of a path, or of its nearest ancestor that has one."""
        path = tuple(path)
        while path not in self.position_by_path and path:
            path = path[:-1]
        return self.position_by_path.get(path, Position(1, 1))

    def finding(self, path, code, message):
        """Return a finding at the position of a path."""
        position = self.position(path)
        return findings.Finding(
            self.file, position.line, position.column, code, message
        )


def read(file, text):
    """Return the documents of a YAML text as a list of `Document`.

    Parameters
    ----------
    file : str
        The name of the file, for findings.
    text : str
        The text of the file.

    Raises
    ------
    findings.FindingsError
        If the text is not valid YAML, or a mapping contains a key twice.
    """
    loader = yaml.SafeLoader(text)
    documents = []
    try:
        while loader.check_node():
            documents.append(_read_document(file, loader, loader.get_node()))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        finding = findings.Finding(
            file, line, column, "yaml", str(error.problem or error.context)
        )
        raise findings.FindingsError([finding]) from error
    finally:
        loader.dispose()
    return documents


def check(document, model, skip=()):
    """Validate a document against a model.

    Parameters
    ----------
    document : Document
        The document; anything but a mapping gives a finding.
    model : type
        A class of pydantic models.
    skip : collection of str
        Top-level keys of the document that are not part of the model.

    Returns
    -------
    validated : object or None
        The validated model, or None if there are findings.
    found : list of findings.Finding
        All errors in the document.
    """
    if not isinstance(document.value, dict):
        return None, [
            document.finding((), "not_a_mapping", "The document must be a mapping.")
        ]
    value = {key: item for key, item in document.value.items() if key not in skip}
    try:
        return model.model_validate(value), []
    except pydantic.ValidationError as error:
        return None, [_finding_of(document, model, item) for item in error.errors()]


def _read_document(file, loader, node):
    position_by_path = {}
    _collect_positions(node, (), position_by_path)
    return Document(file, loader.construct_document(node), position_by_path)


def _collect_positions(node, path, position_by_path):
    mark = node.start_mark
    position_by_path.setdefault(path, Position(mark.line + 1, mark.column + 1))
    match node:
        case yaml.MappingNode():
            _collect_mapping(node, path, position_by_path)
        case yaml.SequenceNode():
            for index, item in enumerate(node.value):
                _collect_positions(item, (*path, index), position_by_path)


def _collect_mapping(node, path, position_by_path):
    seen = set()
    for key, item in node.value:
        if key.value in seen:
            raise yaml.MarkedYAMLError(
                problem=f"The key {key.value!r} occurs twice.",
                problem_mark=key.start_mark,
            )
        seen.add(key.value)
        mark = key.start_mark
        position_by_path[(*path, key.value)] = Position(mark.line + 1, mark.column + 1)
        _collect_positions(item, (*path, key.value), position_by_path)


def _finding_of(document, model, item):
    path = item["loc"]
    code = _CODE_BY_PYDANTIC_TYPE.get(item["type"], "wrong_value")
    name = ".".join(str(part) for part in path)
    match code:
        case "unknown_key":
            message = f"The key {name!r} is unknown."
            message += _suggestion(str(path[-1]), model, path[:-1])
        case "missing_key":
            message = f"The key {name!r} is missing."
        case _:
            message = f"{name}: {item['msg']}."
    return document.finding(path, code, message)


def _suggestion(key, model, path):
    for part in path:
        model = _inner_model(model, part)
    names = list(model.model_fields) if model else []
    close = difflib.get_close_matches(key, names, n=1)
    return f" Did you mean {close[0]!r}?" if close else ""


def _inner_model(model, part):
    if model is None or isinstance(part, int):
        return model
    field = model.model_fields.get(part)
    if field is None:
        return None
    types = [field.annotation, *getattr(field.annotation, "__args__", ())]
    for type_ in types:
        if isinstance(type_, type) and issubclass(type_, pydantic.BaseModel):
            return type_
    return None
