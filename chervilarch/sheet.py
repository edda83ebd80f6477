"""Reads the day's sheet, a spreadsheet's CSV export, and compiles it.

Columns: pipeline, stages, deadline_s, account, priority, limit_per_s, from,
until. Every fault is reported at once, by row, column, value and remedy.
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
    """One thing wrong with a sheet.

    Attributes:
        row: row of the file as a spreadsheet counts, from 1.
        column: column heading, "" for the whole row.
        value: what stands there.
        remedy: what would be right.
    """

    row: int
    column: str
    value: str
    remedy: str

    def __str__(self) -> str:
        column = f", column {self.column}" if self.column else ""
        return f"row {self.row}{column}: {self.value!r}: {self.remedy}"


class Row(NamedTuple):
    """One checked row."""

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
    """A checked sheet."""

    rows: list[Row]


def read(data: bytes, deployment: dict[str, Any]) -> Sheet | list[SheetFault]:
    """Reads a sheet and checks it against a deployment's pools and accounts.

    Args:
        data: the file's bytes.
        deployment: the configuration's pools and accounts.
    """
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        remedy = "save the sheet as CSV in UTF-8"
        return [SheetFault(1, "", f"byte {exc.start}", remedy)]
    lines = _read_lines(text)
    if not lines:
        return [
            SheetFault(1, "", "", f"give the headings {', '.join(COLUMNS)}")
        ]
    number, headings = lines[0]
    faults = _check_headings(number, headings)
    if faults:
        return faults
    rows = []
    for number, cells in lines[1:]:
        row = _read_row(number, headings, cells, deployment, faults)
        if row is not None:
            rows.append(row)
    faults.extend(_check_rows(rows))
    if not rows and not faults:
        faults.append(SheetFault(2, "", "", "give at least one row"))
    faults.sort()
    return faults or Sheet(rows)


def compile_sheet(sheet: Sheet, deployment: dict[str, Any]) -> dict[str, Any]:
    """Returns the configuration that a checked sheet stands for."""
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
    kept = {
        name: deployment[name] for name in ("time_zone", "pools", "accounts")
    }
    return {**kept, "pipelines": pipelines, "schedule": schedule}


def _read_lines(text: str) -> list[tuple[int, list[str]]]:
    """Returns numbered rows of stripped cells, without empty rows."""
    delimiter = _find_delimiter(text)
    # A blank before a quote would otherwise make the quote part of the cell.
    reader = csv.reader(
        io.StringIO(text, newline=""),
        delimiter=delimiter,
        skipinitialspace=True,
    )
    lines = []
    for number, cells in enumerate(reader, 1):
        stripped = [cell.replace("\u00a0", " ").strip() for cell in cells]
        if any(stripped):
            lines.append((number, stripped))
    return lines


def _find_delimiter(text: str) -> str:
    heading = text.lstrip().split("\n", 1)[0]
    return max(",;\t", key=heading.count)


def _check_headings(number: int, headings: list[str]) -> list[SheetFault]:
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
    """Reads the cells of one row and collects its faults."""

    def __init__(self, number: int, cells: dict[str, str], faults: list):
        self._number = number
        self._cells = cells
        self._faults = faults
        self.is_good = True

    def text(self, column: str) -> str:
        return self._cells.get(column, "")

    def fault(self, column: str, remedy: str) -> None:
        self.is_good = False
        self._faults.append(
            SheetFault(self._number, column, self.text(column), remedy)
        )

    def name(self, column: str, known: dict, extra: str = "") -> str:
        value = self.text(column)
        if value not in known and not (extra and value == extra):
            names = ", ".join([*sorted(known), *([extra] if extra else [])])
            self.fault(column, f"name one of: {names}")
        return value

    def positive(self, column: str) -> float:
        text = self.text(column)
        try:
            value = float(text.replace(",", "."))
        except ValueError:
            value = 0.0
        if not 0 < value < float("inf"):
            self.fault(column, "write a number above 0, as 2.5 or 2,5")
        return value

    def priority(self, column: str) -> int:
        text = self.text(column)
        value = int(text) if text.isdigit() else 0
        if not _MIN_PRIORITY <= value <= _MAX_PRIORITY:
            self.fault(column, "write a whole number from 1 (first) to 9")
        return value

    def time(self, column: str, default: str) -> str:
        text = self.text(column)
        if not text:
            return default
        try:
            minute = rules.parse_time(text)
        except ValueError:
            self.fault(column, "write a time of day, as 06:30")
            return default
        return f"{minute // 60:02d}:{minute % 60:02d}"

    def stages(self, column: str, pools: dict) -> tuple[str, ...]:
        parts = self.text(column).split(STAGE_SEPARATOR)
        names = tuple(part.strip() for part in parts)
        if any(name not in pools for name in names):
            known = ", ".join(sorted(pools))
            self.fault(
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
    named = dict(zip(headings, cells, strict=False))
    reader = _RowReader(number, named, faults)
    pipeline = reader.text("pipeline")
    if not pipeline or not pipeline.replace("-", "").replace("_", "").isalnum():
        reader.fault("pipeline", "write a name of letters, digits, - and _")
    row = Row(
        number,
        pipeline,
        reader.stages("stages", deployment["pools"]),
        reader.positive("deadline_s"),
        reader.name("account", deployment["accounts"], rules.ANY_ACCOUNT),
        reader.priority("priority"),
        reader.positive("limit_per_s"),
        reader.time("from", ALL_DAY[0]),
        reader.time("until", ALL_DAY[1]),
    )
    return row if reader.is_good else None


def _check_rows(rows: list[Row]) -> list[SheetFault]:
    """Checks rows against each other."""
    faults = []
    stages: dict[str, Row] = {}
    by_subject: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        first = stages.setdefault(row.pipeline, row)
        if first.stages != row.stages:
            value = f" {STAGE_SEPARATOR} ".join(row.stages)
            remedy = f"write the same stages as in row {first.number}"
            faults.append(SheetFault(row.number, "stages", value, remedy))
        others = by_subject.setdefault((row.pipeline, row.account), [])
        for other in others:
            if _overlap(row, other):
                value = f"{row.from_time}-{row.until_time}"
                remedy = f"choose times apart from those of row {other.number}"
                faults.append(SheetFault(row.number, "from", value, remedy))
        others.append(row)
    return faults


def _minutes(row: Row) -> set[int]:
    start = rules.parse_time(row.from_time)
    end = rules.parse_time(row.until_time)
    if start < end:
        return set(range(start, end))
    return set(range(start, _MINUTES_PER_DAY)) | set(range(end))


def _overlap(row: Row, other: Row) -> bool:
    return not _minutes(row).isdisjoint(_minutes(other))
