# Every target works on a fresh clone with Python 3.11 and pip.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
SOURCES := teaselcove tests standins soak

.PHONY: venv lint format unit test demo bench example slopes soak fault-soak \
	planted

$(VENV)/installed: pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

venv: $(VENV)/installed

lint: venv
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)

format: venv
	$(VENV)/bin/ruff format $(SOURCES)
	$(VENV)/bin/ruff check --fix $(SOURCES)
	$(VENV)/bin/ruff format $(SOURCES)

unit: venv
	$(PYTHON) -m pytest

test: lint unit

demo: venv
	$(PYTHON) -m standins.demo
	$(PYTHON) -m soak.run 1 --seconds=10

bench: venv
	$(PYTHON) -m standins.bench

# Runs an example with stand-ins until it is interrupted: brunnwerk or zhuyin.
NAME ?= brunnwerk
example: venv
	$(PYTHON) -m standins.example $(NAME)

# Prints the slopes that docs/CAPACITY.md is worked out from.
slopes: venv
	$(PYTHON) -m standins.slopes
	$(PYTHON) -m standins.control_cost

# Runs the schedules of faults with other seeds than CI: make soak SEED=7.
SEED ?= 1
soak: venv
	$(PYTHON) -m pytest --hypothesis-profile soak --hypothesis-seed $(SEED) \
		tests/test_escrow.py tests/test_convergence.py \
		tests/test_claims_properties.py tests/test_floors.py \
		tests/test_retries.py

# Runs real processes under random faults: make fault-soak SEED=7.
SECONDS ?= 15
fault-soak: venv
	$(PYTHON) -m soak.run $(SEED) --seconds=$(SECONDS)

# Plants a fault in each promise and tells whether the soak notices.
planted: venv
	$(PYTHON) -m soak.planted
