VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

SEEDS ?= 10
SECONDS ?= 15
BOXES ?= 3

.PHONY: demo test lint format bench limits capacity schema soak clean

$(STAMP): requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install -q --require-hashes -r requirements-dev.txt
	$(PY) -m pip install -q --no-deps --no-build-isolation -e .
	touch $@

demo: $(STAMP)
	$(VENV)/bin/croftchute demo

test: $(STAMP)
	$(PY) -m pytest

lint: $(STAMP)
	$(VENV)/bin/black --check --quiet src tests platform
	$(VENV)/bin/ruff check --quiet src tests platform
	$(VENV)/bin/mypy

format: $(STAMP)
	$(VENV)/bin/black --quiet src tests platform
	$(VENV)/bin/ruff check --quiet --fix src tests platform

bench: $(STAMP)
	$(PY) -m croftchute.bench.main
	$(PY) -m croftchute.bench.endless_answers
	$(PY) -m croftchute.bench.retry_budgets
	$(PY) -m croftchute.bench.crowd_sizes
	$(PY) -m croftchute.bench.crowded_box

limits: $(STAMP)
	$(PY) -m croftchute.bench.worker_limits

capacity: $(STAMP)
	$(PY) -m croftchute.bench.capacity

soak: $(STAMP)
	$(PY) -m croftchute.soak.main --seeds $(SEEDS) --seconds $(SECONDS) --boxes $(BOXES) $(SOAK_ARGS)

schema: $(STAMP)
	$(PY) -m croftchute.config.schema

clean:
	rm -rf $(VENV) build
