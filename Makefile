# Every target works on a fresh machine with Python 3.11, make and the package
# registry. VENV may name an existing environment.
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.stamp-$(shell cat requirements.lock requirements-dev.lock | cksum | cut -d' ' -f1)
SEED ?= 1
EXAMPLES ?= 200

SEEDS ?= 4

MINUTES ?= 2
INSTANCES ?= 3

.PHONY: setup test lint format demo slopes decisions wide-jobs bench-path experiment regression fuzz mutants soak soak-scenarios soak-mutants

setup: $(STAMP)

$(STAMP):
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements-dev.lock
	touch $(STAMP)

test: setup
	$(PY) -m tests

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: setup
	$(PY) -m standins.demo
	$(PY) -m standins.platform_demo

slopes: setup
	$(PY) -m bench.slopes

decisions: setup
	$(PY) -m bench.decisions

wide-jobs: setup
	$(PY) -m bench.wide_jobs

bench-path: setup
	$(PY) -m bench.path

experiment: setup
	$(PY) -m bench.experiment experiment --seeds $(SEEDS)

regression: setup
	$(PY) -m bench.regression regression

fuzz: export FUZZ_SEED := $(SEED)
fuzz: export FUZZ_EXAMPLES := $(EXAMPLES)
fuzz: setup
	@echo "replay: make fuzz SEED=$(SEED) EXAMPLES=$(EXAMPLES)"
	$(PY) -m tests $(basename $(subst /,.,$(wildcard tests/test_*_fuzz.py)))

soak: setup
	$(PY) -m soak soak --seed $(SEED) --minutes $(MINUTES) --instances $(INSTANCES)

soak-scenarios: setup
	$(PY) -m soak scenario --instances $(INSTANCES)

# Takes about a minute for each seed that a mutant survives.
soak-mutants: setup
	$(PY) -m soak mutants --seed 200 --minutes 0.75 --pace 2.5

mutants: setup
	$(PY) -m tests.mutants $(MUTANTS)
