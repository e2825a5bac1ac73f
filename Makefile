VENV := .venv
PYTHON := $(VENV)/bin/python
MEMBERS := packages/jacinthmount packages/jacinthmount-node packages/jacinthmount-ctl packages/jacinthmount-standin platform platform/standin
DEMO := run/demo
# Tests that run one at a time, apart from other load.
ALONE := tests/test_hostile_clients.py tests/test_crowded_sites.py

.PHONY: setup demo demo-up demo-down demo-platform test lint format clean

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt $(addsuffix /pyproject.toml,$(MEMBERS))
	python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	for member in $(MEMBERS); do \
		$(PYTHON) -m pip install --quiet --disable-pip-version-check \
			--no-deps --no-build-isolation -e ./$$member || exit 1; \
	done
	touch $@

demo: setup
	$(PYTHON) -m jacinthmount_standin demo --folder $(DEMO)

demo-up: setup
	$(PYTHON) -m jacinthmount_standin demo --folder $(DEMO) --keep

demo-platform: setup
	$(PYTHON) -m jacinthmount_platform_standin demo run/platform

demo-down: setup
	$(PYTHON) -m jacinthmount_standin demo --folder $(DEMO) --stop

test: setup
	$(PYTHON) -m pytest -n 3 --dist loadfile -rx $(addprefix --ignore=,$(ALONE))
	$(PYTHON) -m pytest -rx $(ALONE)

lint: setup
	$(VENV)/bin/ruff format --check packages tests spec platform
	$(VENV)/bin/ruff check packages tests spec platform
	$(VENV)/bin/flake8 packages tests spec platform
	$(VENV)/bin/mypy

format: setup
	$(VENV)/bin/ruff check --fix packages tests spec platform
	$(VENV)/bin/ruff format packages tests spec platform

clean:
	rm -rf $(VENV) run build .pytest_cache .mypy_cache .ruff_cache
