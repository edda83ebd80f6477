# Every target sets up its own virtual environment first.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/installed
DEPLOYMENT ?= association
HOLD ?= 0
FIRST ?= 1
SEEDS ?= 2

.PHONY: demo test model faults soak bench lint format clean

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --quiet --disable-pip-version-check -r requirements-dev.txt
	$(PYTHON) -m pip install --quiet --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m bench.demo --deployment $(DEPLOYMENT) $(if $(filter 1,$(HOLD)),--hold)

test: $(STAMP)
	$(PYTHON) -m pytest

model: $(STAMP)
	$(PYTHON) -m model.check

faults: $(STAMP)
	$(PYTHON) -m bench.faults

soak: $(STAMP)
	$(PYTHON) -m soak --regressions
	$(PYTHON) -m soak --first $(FIRST) --seeds $(SEEDS)

bench: $(STAMP)
	$(PYTHON) -m bench.measure

lint: $(STAMP)
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

format: $(STAMP)
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

clean:
	rm -rf $(VENV) build *.egg-info
