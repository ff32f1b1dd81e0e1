"""A whole set of declarations: read, checked and made ready for use."""

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
    """One declared thing: its kind, its checked model and where it stands."""

    kind: str
    model: object
    document: yamlfile.Document

    @property
    def key(self):
        """Return the kind and name, which are its identity."""
        return f"{self.kind}/{self.model.name}"

    @property
    def content(self):
        """Return the entity as plain JSON values."""
        values = self.document.value
        return json.loads(json.dumps(values, default=str, sort_keys=True))

    @property
    def digest(self):
        """Return a hash of the content."""
        text = json.dumps(self.content, sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()


def read_folder(folder):
    """Return the checked entities of all YAML files in a folder, by key.

    Raises
    ------
    findings.FindingsError
        With everything that is wrong in any of the files.
    """
    root = pathlib.Path(folder)
    paths = sorted([*root.rglob("*.yaml"), *root.rglob("*.yml")])
    if not paths:
        finding = findings.Finding(
            str(folder), 1, 1, "no_files", "There are no YAML files here."
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
                findings.Finding(str(path), 1, 1, "yaml", "The file is not UTF-8.")
            )
    return _check(documents, found)


def from_contents(contents):
    """Return the checked entities of plain values, by key.

    Parameters
    ----------
    contents : iterable of dict
        Values as `Entity.content` gives them.
    """
    documents = [yamlfile.Document("<platform>", value, {}) for value in contents]
    return _check(documents, [])


def to_declarations(entity_by_key):
    """Return the entities as the decision logic knows them."""
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
        entity, wrong = _entity(document)
        found.extend(wrong)
        if entity is None:
            continue
        if entity.key in entity_by_key:
            found.append(_duplicate(entity, entity_by_key[entity.key]))
            continue
        entity_by_key[entity.key] = entity
    found.extend(_check_together(entity_by_key))
    if found:
        raise findings.FindingsError(found)
    return entity_by_key


def _entity(document):
    value = document.value
    if not isinstance(value, dict):
        return None, [document.finding((), "not_a_mapping", "A mapping is expected.")]
    if value.get("api") != kinds.API:
        message = f"'api' should be {kinds.API!r}."
        return None, [document.finding(("api",), "wrong_api", message)]
    kind = value.get("kind")
    model = kinds.MODEL_BY_KIND.get(kind)
    if model is None:
        near = difflib.get_close_matches(str(kind), kinds.MODEL_BY_KIND, n=1)
        hint = f" Did you mean {near[0]!r}?" if near else ""
        message = f"There is no kind {kind!r}.{hint}"
        return None, [document.finding(("kind",), "unknown_kind", message)]
    made, found = yamlfile.check(document, model, skip=_HEADER)
    if made is None:
        return None, found
    return Entity(kind, made, document), []


def _duplicate(entity, first):
    place = first.document.place(("name",))
    message = (
        f"{entity.key} is declared twice; first in {first.document.file}:{place.line}."
    )
    return entity.document.finding(("name",), "duplicate_name", message)


def _check_together(entity_by_key):
    """Return the findings that need more than one entity to see."""
    found = []
    for entity in entity_by_key.values():
        match entity.model:
            case kinds.Contract(pools=pools):
                for index, pool in enumerate(pools):
                    found += _reference(
                        entity_by_key, entity, ("pools", index), "Pool", pool
                    )
            case kinds.Event():
                found += _check_event(entity_by_key, entity)
            case kinds.Model(pool=pool):
                found += _reference(entity_by_key, entity, ("pool",), "Pool", pool)
            case kinds.Target(pool=pool, data_centre=data_centre):
                found += _reference(entity_by_key, entity, ("pool",), "Pool", pool)
                found += _reference(
                    entity_by_key, entity, ("data_centre",), "DataCentre", data_centre
                )
            case kinds.Pool():
                found += _check_pool(entity_by_key, entity)
    return found


def _reference(entity_by_key, entity, path, kind, name):
    if f"{kind}/{name}" in entity_by_key:
        return []
    names = [key.split("/")[1] for key in entity_by_key if key.startswith(f"{kind}/")]
    near = difflib.get_close_matches(name, names, n=1)
    hint = f" Did you mean {near[0]!r}?" if near else ""
    message = f"There is no {kind} {name!r}.{hint}"
    return [entity.document.finding(path, "dangling_reference", message)]


def _check_event(entity_by_key, entity):
    event = entity.model
    found = _reference(entity_by_key, entity, ("pool",), "Pool", event.pool)
    for index, share in enumerate(event.shares):
        path = ("shares", index, "account")
        found += _reference(entity_by_key, entity, path, "Contract", share.account)
    total = sum(share.share for share in event.shares)
    if total > 1.0 + 1e-9:
        message = f"The shares add up to {total:.0%}, over 100%."
        found.append(entity.document.finding(("shares",), "shares_over_100", message))
    return found


def _check_pool(entity_by_key, entity):
    """Check a pool's store, and that its contracts fit the pool's own limit."""
    pool = entity.model
    if pool.store is not None:
        found = _reference(entity_by_key, entity, ("store",), "Pool", pool.store)
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
        f"The contracts that use the pool allow {total} at once, "
        f"over the pool's {pool.concurrency}."
    )
    return [entity.document.finding(("concurrency",), "limits_over_pool", message)]


def _uses(contract, pool):
    return pool.targets != "store_host" and (
        not contract.pools or pool.name in contract.pools
    )
