# Everything runs in a virtual environment beside this file.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo test lint format bench model soak

setup: .venv/ready

.venv/ready: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch .venv/ready

demo: setup
	$(BIN)/python -m demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: setup
	$(BIN)/python -m bench

model: setup
	$(BIN)/python -m model

soak: setup
	$(BIN)/python -m soak --seeds 10
