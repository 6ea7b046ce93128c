VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
TEST_WORKERS ?= 3

RED = $(shell sed -n 's/^test: /--deselect=/p' KNOWN-RED.txt)

.PHONY: setup test lint format demo binary bench soak

$(VENV)/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(VENV)/ready

setup: $(VENV)/ready

test: setup
	$(BIN)/python -m pytest -n $(TEST_WORKERS) -m "not soak and not hostile_clients" $(RED)
	$(BIN)/python -m pytest -m hostile_clients $(RED)

lint: setup
	$(BIN)/black --check --quiet rosemaryyoke
	$(BIN)/isort --check-only --quiet rosemaryyoke
	$(BIN)/flake8 rosemaryyoke

format: setup
	$(BIN)/isort --quiet rosemaryyoke
	$(BIN)/black --quiet rosemaryyoke

demo: setup
	$(BIN)/python -m rosemaryyoke.testing.demo

bench: setup
	$(BIN)/rosemaryyoke bench placement

soak: setup
	ROSEMARYYOKE_TIMED=1 $(BIN)/python -m pytest -s $(RED)

binary: setup
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed --console-script rosemaryyoke \
		--output-file dist/rosemaryyoke --no-build-isolation \
		--constraint requirements.txt .
