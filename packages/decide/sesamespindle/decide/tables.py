"""In-memory tables of rows, which hold the entities of the decision logic."""

import typing

Row = typing.TypeVar("Row")


class Table(typing.Generic[Row]):
    """Rows by id, with optional indices by further attributes.

    Parameters
    ----------
    id_name : str
        The name of the row attribute that is its id. Its value must never change.
    *index_names : str
        The names of the attributes to index by. Their values must not change while the
        row is in the table.
    """

    def __init__(self, id_name, *index_names):
        self._id_name = id_name
        self.by_id: dict[typing.Any, Row] = {}
        self._indices = {name: {} for name in index_names}

    def add(self, row):
        """Add a row; it replaces one with the same id."""
        row_id = getattr(row, self._id_name)
        self.remove(row_id)
        self.by_id[row_id] = row
        for name, index in self._indices.items():
            index.setdefault(getattr(row, name), {})[row_id] = row

    def remove(self, row_id):
        """Remove a row and return it, or None if there is none with this id."""
        row = self.by_id.pop(row_id, None)
        if row is None:
            return None
        for name, index in self._indices.items():
            value = getattr(row, name)
            index[value].pop(row_id)
            if not index[value]:
                del index[value]
        return row

    def get(self, row_id):
        """Return the row with this id, or None."""
        return self.by_id.get(row_id)

    def where(self, name, value):
        """Return the rows whose indexed attribute `name` has this value."""
        return self._indices[name].get(value, {}).values()

    def keys_of(self, name):
        """Return the distinct values of the indexed attribute `name`."""
        return self._indices[name].keys()

    def __iter__(self):
        return iter(self.by_id.values())

    def __len__(self):
        return len(self.by_id)

    def __contains__(self, row_id):
        return row_id in self.by_id
