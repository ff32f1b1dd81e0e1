"""A complete set of declarations: reading, validation and conversion.

Each document is validated by itself, then all of them together: references between
them must resolve, and the limits of contracts must fit their pools. All errors are
collected and raised at once.
"""

import dataclasses
import difflib
import hashlib
import json
import pathlib

from sesamespindle.decide import declared
from sesamespindle.declare import findings, kinds, yamlfile

_HEADER = ("api", "kind")
_FIELD_BY_KIND = {
    "Contract": "contracts",
    "Event": "events",
    "Model": "models",
    "Pool": "pools",
    "Target": "targets",
    "DataCentre": "data_centres",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Entity:
    """One declared object.

    Attributes
    ----------
    kind : str
        One of the keys of `kinds.MODEL_BY_KIND`.
    model : pydantic.BaseModel
        The validated values.
    document : yamlfile.Document
        The document that declares it, with the positions of its values.
    """

    kind: str
    model: object
    document: yamlfile.Document

    @property
    def key(self):
        """Return ``"{kind}/{name}"``, which identifies the entity."""
        return f"{self.kind}/{self.model.name}"

    @property
    def content(self):
        """Return the document as plain JSON values, as it is stored."""
        values = self.document.value
        return json.loads(json.dumps(values, default=str, sort_keys=True))

    @property
    def digest(self):
        """Return the SHA-256 of the content, in hexadecimal."""
        text = json.dumps(self.content, sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()


def read_folder(folder):
    """Return the validated entities of all YAML files in a folder, by key.

    Raises
    ------
    findings.FindingsError
        With all errors in all files.
    """
    root = pathlib.Path(folder)
    paths = sorted([*root.rglob("*.yaml"), *root.rglob("*.yml")])
    if not paths:
        finding = findings.Finding(
            str(folder), 1, 1, "no_files", "The folder contains no YAML files."
        )
        raise findings.FindingsError([finding])
    documents = []
    found = []
    for path in paths:
        try:
            documents.extend(yamlfile.read(str(path), path.read_text("utf-8")))
        except findings.FindingsError as error:
            found.extend(error.findings)
        except UnicodeDecodeError:
            found.append(
                findings.Finding(
                    str(path), 1, 1, "yaml", "The file is not encoded in UTF-8."
                )
            )
    return _check(documents, found)


def from_contents(contents):
    """Return the validated entities of stored documents, by key.

    Parameters
    ----------
    contents : iterable of dict
        Plain JSON values, as returned by `Entity.content`.

    Raises
    ------
    findings.FindingsError
        With all errors; their file is ``<platform>``.
    """
    documents = [yamlfile.Document("<platform>", value, {}) for value in contents]
    return _check(documents, [])


def to_declarations(entity_by_key):
    """Return the entities as the `declared.Declarations` of the decision logic."""
    rows_by_field = {field: [] for field in _FIELD_BY_KIND.values()}
    for entity in entity_by_key.values():
        rows_by_field[_FIELD_BY_KIND[entity.kind]].append(entity.model.to_row())
    return declared.Declarations(
        **{field: tuple(rows) for field, rows in rows_by_field.items()}
    )


def _check(documents, found):
    entity_by_key = {}
    for document in documents:
        if document.value is None:
            continue
        entity, entity_findings = _parse_entity(document)
        found.extend(entity_findings)
        if entity is None:
            continue
        if entity.key in entity_by_key:
            found.append(_duplicate_finding(entity, entity_by_key[entity.key]))
            continue
        entity_by_key[entity.key] = entity
    found.extend(_check_across_entities(entity_by_key))
    if found:
        raise findings.FindingsError(found)
    return entity_by_key


def _parse_entity(document):
    value = document.value
    if not isinstance(value, dict):
        return None, [
            document.finding((), "not_a_mapping", "The document must be a mapping.")
        ]
    if value.get("api") != kinds.API:
        message = f"The key 'api' must be {kinds.API!r}."
        return None, [document.finding(("api",), "wrong_api", message)]
    kind = value.get("kind")
    model = kinds.MODEL_BY_KIND.get(kind)
    if model is None:
        close = difflib.get_close_matches(str(kind), kinds.MODEL_BY_KIND, n=1)
        hint = f" Did you mean {close[0]!r}?" if close else ""
        message = f"There is no kind {kind!r}.{hint}"
        return None, [document.finding(("kind",), "unknown_kind", message)]
    validated, found = yamlfile.check(document, model, skip=_HEADER)
    if validated is None:
        return None, found
    return Entity(kind, validated, document), []


def _duplicate_finding(entity, first):
    position = first.document.position(("name",))
    message = (
        f"{entity.key} is already declared in {first.document.file}:{position.line}."
    )
    return entity.document.finding(("name",), "duplicate_name", message)


def _check_across_entities(entity_by_key):
    """Return the findings that concern more than one entity."""
    found = []
    for entity in entity_by_key.values():
        match entity.model:
            case kinds.Contract(pools=pools):
                for index, pool in enumerate(pools):
                    found += _check_reference(
                        entity_by_key, entity, ("pools", index), "Pool", pool
                    )
            case kinds.Event():
                found += _check_event(entity_by_key, entity)
            case kinds.Model(pool=pool):
                found += _check_reference(
                    entity_by_key, entity, ("pool",), "Pool", pool
                )
            case kinds.Target(pool=pool, data_centre=data_centre):
                found += _check_reference(
                    entity_by_key, entity, ("pool",), "Pool", pool
                )
                found += _check_reference(
                    entity_by_key, entity, ("data_centre",), "DataCentre", data_centre
                )
            case kinds.Pool():
                found += _check_pool(entity_by_key, entity)
    return found


def _check_reference(entity_by_key, entity, path, kind, name):
    if f"{kind}/{name}" in entity_by_key:
        return []
    names = [key.split("/")[1] for key in entity_by_key if key.startswith(f"{kind}/")]
    close = difflib.get_close_matches(name, names, n=1)
    hint = f" Did you mean {close[0]!r}?" if close else ""
    message = f"There is no {kind} {name!r}.{hint}"
    return [entity.document.finding(path, "dangling_reference", message)]


def _check_event(entity_by_key, entity):
    event = entity.model
    found = _check_reference(entity_by_key, entity, ("pool",), "Pool", event.pool)
    for index, share in enumerate(event.shares):
        path = ("shares", index, "account")
        found += _check_reference(
            entity_by_key, entity, path, "Contract", share.account
        )
    total = sum(share.share for share in event.shares)
    if total > 1.0 + 1e-9:
        message = f"The shares add up to {total:.0%}, which exceeds 100%."
        found.append(entity.document.finding(("shares",), "shares_over_100", message))
    return found


def _check_pool(entity_by_key, entity):
    """Check that a pool's store exists and that its contracts fit the pool's limit.

    The limits of all contracts that may use the pool must not add up to more than
    the pool's concurrency.
    """
    pool = entity.model
    if pool.store is not None:
        found = _check_reference(entity_by_key, entity, ("store",), "Pool", pool.store)
        if found:
            return found
    contracts = [
        other.model
        for other in entity_by_key.values()
        if other.kind == "Contract" and _uses(other.model, pool)
    ]
    limit = "call_concurrency" if pool.targets == "service" else "concurrency"
    total = sum(getattr(contract, limit) for contract in contracts)
    if total <= pool.concurrency:
        return []
    message = (
        f"The contracts that use the pool allow {total} concurrent requests, "
        f"which exceeds the pool's limit of {pool.concurrency}."
    )
    return [entity.document.finding(("concurrency",), "limits_over_pool", message)]


def _uses(contract, pool):
    return pool.targets != "store_host" and (
        not contract.pools or pool.name in contract.pools
    )
