# The front for every common action. BUILD may name another build folder.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all install build format check-format lint test quick demo clean \
	bench-relay bench-faults bench-policy bench-control

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

demo: install build ## start a small fleet on loopback and send requests
	scripts/demo.sh $(BUILD)

bench-relay: build  ## time added by the daemon and tokens relayed
	scripts/bench-relay.sh $(BUILD)

SEED ?= 1
bench-faults: build ## nine daemons under kills, pauses and stalls
	scripts/bench-faults.sh $(BUILD) $(SEED)

bench-policy: build ## placement policies against naive and oracle
	scripts/bench-policy.sh $(BUILD) $(SEED)

bench-control: build ## cost of control from 9 to 360 VMs
	scripts/bench-control.sh $(BUILD)

clean:
	rm -rf $(BUILD)
