PYTHON ?= python3
VENV ?= .venv
WORKERS ?= 5
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
CROWD_TESTS := tests/users_platform/test_uncontrolled_clients.py

.PHONY: bench-calls bench-config bench-outcomes check demo env format \
    known-red prove settings-doc test

env: $(STAMP)

$(STAMP): requirements.txt constraints.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    -c constraints.txt -r requirements.txt
	touch $(STAMP)

format: $(STAMP)
	$(BIN)/ruff check --fix --quiet --select I .
	$(BIN)/ruff format --quiet .

check: $(STAMP)
	$(BIN)/ruff format --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/flake8
	$(BIN)/mypy --no-error-summary \
	    packages/core/src packages/wire/src packages/node/src \
	    packages/client/src packages/testing/src
	MYPYPATH=platform $(BIN)/mypy --no-error-summary \
	    $(wildcard platform/*.py)

# Crowds of clients are tested one at a time, apart from the other tests.
test: check
	$(BIN)/pytest -n $(WORKERS) --dist loadfile --ignore=$(CROWD_TESTS)
	$(BIN)/pytest $(CROWD_TESTS)

demo: $(STAMP)
	$(BIN)/python -m balsamramp_testing.demo

# All cases: make prove FULL=1
prove: $(STAMP)
	$(BIN)/python -m balsamramp_testing.prove $(if $(FULL),--full)

known-red: $(STAMP)
	$(BIN)/python -m balsamramp_testing.known_red

settings-doc: $(STAMP)
	$(BIN)/python -m balsamramp_testing.settings_page docs/OPERATIONS.md

bench-calls: $(STAMP)
	$(BIN)/python -m balsamramp_testing.benches.call_faults
	$(BIN)/python -m balsamramp_testing.benches.added_time

bench-config: $(STAMP)
	$(BIN)/python -m balsamramp_testing.benches.config
	$(BIN)/python -m balsamramp_testing.benches.config_costs
	$(BIN)/python -m balsamramp_testing.benches.config_processes

bench-outcomes: $(STAMP)
	$(BIN)/python -m balsamramp_testing.benches.outcomes
	$(BIN)/python -m balsamramp_testing.benches.outcome_costs
