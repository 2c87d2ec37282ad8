# The front for every common action. BUILD may name another build folder.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all install build format check-format lint test quick demo clean \
	soak bench-relay bench-faults bench-policy bench-control day score hunt

all: build

install:            ## install the Debian packages that the build needs
	scripts/install-packages.sh

build:              ## configure and compile everything
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

format:             ## rewrite the sources in the project's format
	scripts/sources.sh | xargs clang-format -i

check-format:       ## fail if a source is not in the project's format
	scripts/sources.sh | xargs clang-format --dry-run --Werror

lint: build         ## run clang-tidy over the whole tree
	scripts/lint.sh $(BUILD) $(JOBS)

quick: build        ## build and run the tests only
	ctest --test-dir $(BUILD) --output-on-failure -j 4

test: install build check-format lint quick  ## everything CI runs

SEED ?= 1
SEEDS ?= 10
soak: build         ## faults around real daemons, from seed SEED on
	python3 -B scripts/soak.py $(BUILD) --seed $(SEED) --seeds $(SEEDS)
	python3 -B scripts/soak.py $(BUILD) --seed $(SEED) --seeds $(SEEDS) --planned

demo: install build ## start a small fleet on loopback and send requests
	scripts/demo.sh $(BUILD)

bench-relay: build  ## time added by the daemon and tokens relayed
	scripts/bench-relay.sh $(BUILD)

bench-faults: build ## nine daemons under kills, pauses and stalls
	scripts/bench-faults.sh $(BUILD) $(SEED)

bench-policy: build ## placement policies against naive and oracle
	scripts/bench-policy.sh $(BUILD) $(SEED)

bench-control: build ## cost of control from 9 to 360 VMs
	scripts/bench-control.sh $(BUILD)

# The users' bench. FLEETBENCH, SITE, DAY, DAYS and WHY may be set.
FLEETBENCH ?= ../given/kit/more/system/bin/fleetbench
SITE ?= ../given/kit/more/system/sites/noces-liaison.toml
DAY ?= quiet-1
DAYS ?= 40
WHY ?= no reason given
day:                ## one day of a site, with the logs of all VMs
	$(FLEETBENCH) run $(SITE) $(DAY) --log all --why "$(WHY)"

score:              ## the standard days of a site
	$(FLEETBENCH) score $(SITE) --jobs 4 --why "$(WHY)"

hunt:               ## days with other luck, to find broken rules
	$(FLEETBENCH) hunt $(SITE) --days $(DAYS) --jobs 4

clean:
	rm -rf $(BUILD)
