"""Reading declarations reports all errors at once, each with its position."""

import pathlib

import pytest

from sesamespindle.declare import documents, findings

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
KEY = "sha256:" + "0" * 64

BROKEN = f"""\
api: sesamespindle/v1
kind: Pool
name: words
targets: engine
concurrency: 10
---
api: sesamespindle/v1
kind: Contract
name: desk
concurency: 8
retained_context: 10 minutes
keys: ["{KEY}"]
---
api: sesamespindle/v1
kind: Model
name: big
pool: wrods
version: "1"
context: 8k tokens
---
api: sesamespindle/v1
kind: Contract
name: large
concurrency: 11
retained_context: 10k tokens
keys: ["{KEY}"]
---
api: sesamespindle/v1
kind: Pool
name: words
targets: engine
---
api: sesamespindle/v1
kind: Event
name: opening
pool: words
starts_at: 2026-12-07T09:00:00Z
shares:
  - {{account: large, share: 70%}}
  - {{account: large, share: 40%}}
---
api: sesamespindle/v1
kind: Contrat
name: x
"""


@pytest.mark.parametrize("name", ["umoja", "klantstem"])
def test_examples_are_read_completely(name):
    entities = documents.read_folder(EXAMPLES / name)
    declarations = documents.to_declarations(entities)
    assert len(declarations.contracts) == 10
    assert len(declarations.data_centres) == {"umoja": 3, "klantstem": 4}[name]


def test_all_findings_are_reported_together(tmp_path):
    path = tmp_path / "broken.yaml"
    path.write_text(BROKEN)
    with pytest.raises(findings.FindingsError) as caught:
        documents.read_folder(tmp_path)
    found = {(item.line, item.code) for item in caught.value.findings}
    assert found == {
        (5, "limits_over_pool"),
        (10, "unknown_key"),
        (7, "missing_key"),
        (11, "wrong_unit"),
        (17, "dangling_reference"),
        (30, "duplicate_name"),
        (38, "shares_over_100"),
        (43, "unknown_kind"),
    }
    text = str(caught.value)
    assert "Did you mean 'concurrency'?" in text
    assert "Did you mean 'words'?" in text
    assert "Did you mean 'Contract'?" in text


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("a: [", "yaml"),
        ("a: 1\na: 2\n", "yaml"),
        ("- 1\n", "not_a_mapping"),
        ("api: other/v1\n", "wrong_api"),
    ],
)
def test_a_file_that_is_not_a_declaration_is_reported(tmp_path, text, code):
    (tmp_path / "file.yaml").write_text(text)
    with pytest.raises(findings.FindingsError) as caught:
        documents.read_folder(tmp_path)
    assert [item.code for item in caught.value.findings] == [code]


def test_a_folder_without_files_is_reported(tmp_path):
    with pytest.raises(findings.FindingsError) as caught:
        documents.read_folder(tmp_path)
    assert [item.code for item in caught.value.findings] == ["no_files"]
