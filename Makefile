VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := jacinthmount jacinthmount-node jacinthmount-ctl jacinthmount-standin
DEMO := run/demo

.PHONY: setup demo demo-up demo-down test lint format clean

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt $(foreach name,$(PACKAGES),packages/$(name)/pyproject.toml)
	python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	for name in $(PACKAGES); do \
		$(PYTHON) -m pip install --quiet --disable-pip-version-check \
			--no-deps --no-build-isolation -e packages/$$name || exit 1; \
	done
	touch $@

demo: setup
	$(PYTHON) -m jacinthmount_standin demo --folder $(DEMO)

demo-up: setup
	$(PYTHON) -m jacinthmount_standin demo --folder $(DEMO) --keep

demo-down: setup
	$(PYTHON) -m jacinthmount_standin demo --folder $(DEMO) --stop

test: setup
	$(PYTHON) -m pytest -n 3 --dist loadfile

lint: setup
	$(VENV)/bin/ruff format --check packages tests spec
	$(VENV)/bin/ruff check packages tests spec
	$(VENV)/bin/flake8 packages tests spec
	$(VENV)/bin/mypy

format: setup
	$(VENV)/bin/ruff check --fix packages tests spec
	$(VENV)/bin/ruff format packages tests spec

clean:
	rm -rf $(VENV) run build .pytest_cache .mypy_cache .ruff_cache
