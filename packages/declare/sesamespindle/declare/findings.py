"""Validation errors and their positions in files."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One validation error in one file.

    Attributes
    ----------
    line, column : int
        The position of the error; both start at 1.
    code : str
        A short name of the kind of error, which scripts can match.
    message : str
        What is wrong, as a sentence.
    """

    file: str
    line: int
    column: int
    code: str
    message: str

    def __str__(self):
        return f"{self.file}:{self.line}:{self.column}: {self.code}: {self.message}"


class FindingsError(Exception):
    """Files are invalid.

    Attributes
    ----------
    findings : list of Finding
        All validation errors, sorted by file and position.
    """

    code = "findings"

    def __init__(self, findings):
        self.findings = sorted(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))
