PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test format lint layers types unit fuzz soak bench clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m cumintack.demo

test: format lint layers types unit

format: $(STAMP)
	$(BIN)/ruff format --check cumintack bench soak

lint: $(STAMP)
	$(BIN)/flake8 cumintack bench soak

layers: $(STAMP)
	$(BIN)/lint-imports

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/python -m pytest

fuzz: $(STAMP)
	CUMINTACK_FUZZ=1 $(BIN)/python -m pytest cumintack -k machine

soak: $(STAMP)
	$(BIN)/python -m soak --count 5

bench: $(STAMP)
	$(BIN)/python -m bench all

clean:
	rm -rf $(VENV)
