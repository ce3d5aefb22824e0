VENV ?= .venv
PYTHON ?= python3
RUN = $(VENV)/bin/python
READY = $(VENV)/.ready

BENCHES = hop idle overload routing settings slopes transports

.PHONY: demo serve demo-subtrees serve-subtrees test check format clean soak $(BENCHES:%=bench-%)

SOAK ?= --seconds 120 --seeds 1 2 3

demo: $(READY)
	$(RUN) -m caperstack.platform.standin.demo

serve: $(READY)
	$(RUN) -m caperstack.platform.standin.demo --serve

demo-subtrees: $(READY)
	$(RUN) -m caperstack.bench.demo

serve-subtrees: $(READY)
	$(RUN) -m caperstack.bench.demo --serve

test: $(READY)
	$(RUN) -m nose2 -t .

check: $(READY)
	$(VENV)/bin/black --check --quiet caperstack examples
	$(VENV)/bin/ruff check caperstack examples

format: $(READY)
	$(VENV)/bin/black --quiet caperstack examples
	$(VENV)/bin/ruff check --fix caperstack examples

$(BENCHES:%=bench-%): bench-%: $(READY)
	$(RUN) -m caperstack.bench.$* $(BENCH)

soak: $(READY)
	$(RUN) -m caperstack.soak.main $(SOAK)

$(READY): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -c 'import sys; sys.exit(sys.version_info < (3, 11) and "Python 3.11 or later is needed")'
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(READY)

clean:
	rm -rf $(VENV) build *.egg-info
