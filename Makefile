# Each target does all its own set-up; Python 3.11 and make are all it needs.

PYTHON ?= python3
STAMP := .venv/.installed-$(shell cat requirements.txt pyproject.toml | sha256sum | cut -c1-16)
BIN := .venv/bin
JOBS ?= 6

.PHONY: demo test test-alone check format setup measure slopes mutations benchmark startup

setup: $(STAMP)

$(STAMP):
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/wisterialoom demo

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: check
	$(BIN)/python -m pytest -n $(JOBS) -m "not alone"
	$(BIN)/python -m pytest -m alone

test-alone: $(STAMP)
	$(BIN)/python -m pytest -m alone

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

measure: $(STAMP)
	$(BIN)/python -m wisterialoom.measure

slopes: $(STAMP)
	$(BIN)/python -m wisterialoom.slopes

mutations: $(STAMP)
	$(BIN)/python -m wisterialoom.mutation

benchmark: $(STAMP)
	$(BIN)/python -m wisterialoom.benchmark

startup: $(STAMP)
	$(BIN)/python -m wisterialoom.benchmark.startup wisterialoom.app
	$(BIN)/python -m wisterialoom.benchmark.startup wisterialoom.platform.app
