# Each target sets up the virtual environment if needed; `make demo` and `make test`
# are enough to get started.
VENV ?= .venv
PYTHON = $(VENV)/bin/python

.PHONY: demo test format lint types unit features bench generated binary soak faults slopes

$(VENV)/.ready: requirements.lock
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.lock
	touch $@

test: $(VENV)/.ready lint types generated unit features

format: $(VENV)/.ready
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

lint: $(VENV)/.ready
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

types: $(VENV)/.ready
	$(PYTHON) -m mypy

generated: $(VENV)/.ready
	$(PYTHON) -m bench.generated

unit: $(VENV)/.ready
	$(PYTHON) -m pytest test

features: $(VENV)/.ready
	$(PYTHON) -m behave --format progress features

bench: $(VENV)/.ready
	$(PYTHON) -m bench.policies

demo: $(VENV)/.ready
	$(PYTHON) -m bench.demo

binary: $(VENV)/.ready
	$(PYTHON) -m bench.binary

soak: $(VENV)/.ready
	$(PYTHON) -m soak --seeds $(or $(SEEDS),10) --seconds $(or $(SECONDS),20)

faults: $(VENV)/.ready
	HYPOTHESIS_PROFILE=soak ALMONDGLADE_SOAK_EXAMPLES=$(or $(EXAMPLES),100) $(PYTHON) -m pytest test/test_faults.py

slopes: $(VENV)/.ready
	$(PYTHON) -m bench.slopes
