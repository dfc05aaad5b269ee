# One command sets up and runs the main job, one passes the tests.
PYTHON ?= python3.11
BIN := .venv/bin
ARGS ?=

.PHONY: demo test check setup soak mutations experiment

demo: .venv/.ready
	$(BIN)/python -m lab demo $(ARGS)

test: .venv/.ready
	$(BIN)/python -m tools.run_tests $(ARGS)

check: .venv/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m tools.check_docs

soak: .venv/.ready
	$(BIN)/python -m lab soak $(ARGS)

experiment: .venv/.ready
	$(BIN)/python -m lab experiment $(ARGS)

mutations: .venv/.ready
	$(BIN)/python -m tools.mutations

setup: .venv/.ready

.venv/.ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch .venv/.ready
