"""Parses the operators' sheet, a CSV file, and compiles it.

The columns are those of `COLUMNS`. All faults of a sheet are reported together,
each with its row, column, value and remedy.
"""

import csv
import io
from typing import Any, NamedTuple

from chervilarch import rules

COLUMNS = (
    "pipeline",
    "stages",
    "deadline_s",
    "account",
    "priority",
    "limit_per_s",
    "from",
    "until",
)
STAGE_SEPARATOR = ">"
ALL_DAY = ("00:00", "24:00")
_MIN_PRIORITY = 1
_MAX_PRIORITY = 9
_MINUTES_PER_DAY = 24 * 60


class SheetFault(NamedTuple):
    """One validation error of a sheet.

    Attributes:
        row: row number in the file, from 1 as in a spreadsheet.
        column: column heading, "" if the fault concerns several.
        value: the invalid value.
        remedy: how to correct it.
    """

    row: int
    column: str
    value: str
    remedy: str

    def __str__(self) -> str:
        column = f", column {self.column}" if self.column else ""
        return f"row {self.row}{column}: {self.value!r}: {self.remedy}"


class Row(NamedTuple):
    """One valid row."""

    number: int
    pipeline: str
    stages: tuple[str, ...]
    deadline_s: float
    account: str
    priority: int
    limit_per_s: float
    from_time: str
    until_time: str


class Sheet(NamedTuple):
    """The rows of a valid sheet."""

    rows: list[Row]


def read(data: bytes, deployment: dict[str, Any]) -> Sheet | list[SheetFault]:
    """Parses a sheet and checks it against a deployment's pools and accounts.

    Args:
        data: the file's bytes.
        deployment: a configuration that has at least pools and accounts.
    """
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        remedy = "save the sheet as CSV in UTF-8"
        return [SheetFault(1, "", f"byte {exc.start}", remedy)]
    numbered_rows = _parse_csv(text)
    if not numbered_rows:
        return [
            SheetFault(1, "", "", f"give the headings {', '.join(COLUMNS)}")
        ]
    number, headings = numbered_rows[0]
    faults = _check_headings(number, headings)
    if faults:
        return faults
    rows = []
    for number, cells in numbered_rows[1:]:
        row = _read_row(number, headings, cells, deployment, faults)
        if row is not None:
            rows.append(row)
    faults.extend(_check_rows(rows))
    if not rows and not faults:
        faults.append(SheetFault(2, "", "", "give at least one row"))
    faults.sort()
    return faults or Sheet(rows)


def compile_sheet(sheet: Sheet, deployment: dict[str, Any]) -> dict[str, Any]:
    """Returns the configuration that a sheet describes.

    Time zone, pools and accounts are those of the deployment.
    """
    pipelines = {
        row.pipeline: {"stages": list(row.stages)} for row in sheet.rows
    }
    schedule = {
        f"{row.pipeline}/{row.account}/{row.from_time}-{row.until_time}": {
            "pipeline": row.pipeline,
            "account": row.account,
            "deadline_s": row.deadline_s,
            "priority": row.priority,
            "limit_per_s": row.limit_per_s,
            "from": row.from_time,
            "until": row.until_time,
        }
        for row in sheet.rows
    }
    unchanged = {
        name: deployment[name] for name in ("time_zone", "pools", "accounts")
    }
    return {**unchanged, "pipelines": pipelines, "schedule": schedule}


def _parse_csv(text: str) -> list[tuple[int, list[str]]]:
    """Returns non-empty rows of stripped cells, each with its row number."""
    delimiter = _detect_delimiter(text)
    # Without skipinitialspace, a space before a quote makes the quote part of
    # the cell.
    reader = csv.reader(
        io.StringIO(text, newline=""),
        delimiter=delimiter,
        skipinitialspace=True,
    )
    numbered_rows = []
    for number, cells in enumerate(reader, 1):
        stripped = [cell.replace("\u00a0", " ").strip() for cell in cells]
        if any(stripped):
            numbered_rows.append((number, stripped))
    return numbered_rows


def _detect_delimiter(text: str) -> str:
    heading = text.lstrip().split("\n", 1)[0]
    return max(",;\t", key=heading.count)


def _check_headings(number: int, headings: list[str]) -> list[SheetFault]:
    """Normalizes the headings in place and returns their faults."""
    names = [heading.lower().replace(" ", "_") for heading in headings]
    headings[:] = names
    faults = []
    for name in COLUMNS:
        if name not in names:
            faults.append(SheetFault(number, name, "", "add this column"))
    for index, name in enumerate(names):
        if name and name not in COLUMNS:
            remedy = f"remove this column; known are {', '.join(COLUMNS)}"
            faults.append(SheetFault(number, name, name, remedy))
        elif name and name in names[:index]:
            faults.append(SheetFault(number, name, name, "give it only once"))
    return sorted(faults)


class _RowReader:
    """Parses the cells of one row and collects their faults.

    The read methods add a fault for an invalid cell; what they return then is
    not used.
    """

    def __init__(self, number: int, cells: dict[str, str], faults: list):
        self._number = number
        self._cells = cells
        self._faults = faults
        self.is_valid = True

    def get_text(self, column: str) -> str:
        return self._cells.get(column, "")

    def add_fault(self, column: str, remedy: str) -> None:
        self.is_valid = False
        self._faults.append(
            SheetFault(self._number, column, self.get_text(column), remedy)
        )

    def read_name(self, column: str, known: dict, wildcard: str = "") -> str:
        value = self.get_text(column)
        if value not in known and not (wildcard and value == wildcard):
            names = ", ".join(
                [*sorted(known), *([wildcard] if wildcard else [])]
            )
            self.add_fault(column, f"name one of: {names}")
        return value

    def read_positive_number(self, column: str) -> float:
        text = self.get_text(column)
        try:
            value = float(text.replace(",", "."))
        except ValueError:
            value = 0.0
        if not 0 < value < float("inf"):
            self.add_fault(column, "write a number above 0, as 2.5 or 2,5")
        return value

    def read_priority(self, column: str) -> int:
        text = self.get_text(column)
        value = int(text) if text.isdigit() else 0
        if not _MIN_PRIORITY <= value <= _MAX_PRIORITY:
            self.add_fault(column, "write a whole number from 1 (first) to 9")
        return value

    def read_time(self, column: str, default: str) -> str:
        text = self.get_text(column)
        if not text:
            return default
        try:
            minute = rules.parse_time(text)
        except ValueError:
            self.add_fault(column, "write a time of day, as 06:30")
            return default
        return f"{minute // 60:02d}:{minute % 60:02d}"

    def read_stages(self, column: str, pools: dict) -> tuple[str, ...]:
        parts = self.get_text(column).split(STAGE_SEPARATOR)
        names = tuple(part.strip() for part in parts)
        if any(name not in pools for name in names):
            known = ", ".join(sorted(pools))
            self.add_fault(
                column, f"chain pools with {STAGE_SEPARATOR!r}, of: {known}"
            )
        return names


def _read_row(
    number: int,
    headings: list[str],
    cells: list[str],
    deployment: dict[str, Any],
    faults: list[SheetFault],
) -> Row | None:
    extra = [cell for cell in cells[len(headings) :] if cell]
    if extra:
        remedy = "quote cells that hold the delimiter"
        faults.append(SheetFault(number, "", extra[0], remedy))
        return None
    cells_by_heading = dict(zip(headings, cells, strict=False))
    reader = _RowReader(number, cells_by_heading, faults)
    pipeline = reader.get_text("pipeline")
    if not pipeline or not pipeline.replace("-", "").replace("_", "").isalnum():
        reader.add_fault("pipeline", "write a name of letters, digits, - and _")
    row = Row(
        number,
        pipeline,
        reader.read_stages("stages", deployment["pools"]),
        reader.read_positive_number("deadline_s"),
        reader.read_name("account", deployment["accounts"], rules.ANY_ACCOUNT),
        reader.read_priority("priority"),
        reader.read_positive_number("limit_per_s"),
        reader.read_time("from", ALL_DAY[0]),
        reader.read_time("until", ALL_DAY[1]),
    )
    return row if reader.is_valid else None


def _check_rows(rows: list[Row]) -> list[SheetFault]:
    """Checks that rows of one pipeline agree and that no times overlap."""
    faults = []
    first_by_pipeline: dict[str, Row] = {}
    by_pipeline_and_account: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        first = first_by_pipeline.setdefault(row.pipeline, row)
        if first.stages != row.stages:
            value = f" {STAGE_SEPARATOR} ".join(row.stages)
            remedy = f"write the same stages as in row {first.number}"
            faults.append(SheetFault(row.number, "stages", value, remedy))
        others = by_pipeline_and_account.setdefault(
            (row.pipeline, row.account), []
        )
        for other in others:
            if _times_overlap(row, other):
                value = f"{row.from_time}-{row.until_time}"
                remedy = f"choose times apart from those of row {other.number}"
                faults.append(SheetFault(row.number, "from", value, remedy))
        others.append(row)
    return faults


def _covered_minutes(row: Row) -> set[int]:
    """Returns the minutes of the day; times may span midnight."""
    start = rules.parse_time(row.from_time)
    end = rules.parse_time(row.until_time)
    if start < end:
        return set(range(start, end))
    return set(range(start, _MINUTES_PER_DAY)) | set(range(end))


def _times_overlap(row: Row, other: Row) -> bool:
    return not _covered_minutes(row).isdisjoint(_covered_minutes(other))
