"""What is wrong with a file, with its place."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One fault in one file; lines and columns count from 1."""

    file: str
    line: int
    column: int
    code: str
    message: str

    def __str__(self):
        return f"{self.file}:{self.line}:{self.column}: {self.code}: {self.message}"


class FindingsError(Exception):
    """Files could not be used; all that is wrong with them is in `findings`."""

    code = "findings"

    def __init__(self, findings):
        self.findings = sorted(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))
