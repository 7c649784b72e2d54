# The commands of the README. Each works on a fresh Debian 12 machine.
PACKAGES := $(shell cat .ci/packages)
JOBS ?= $(shell nproc)

.PHONY: packages build test lint format schema demo up bench measure soak

packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update && apt-get install -y $(PACKAGES); }

build: packages
	@mkdir -p build
	@cmake --preset release >build/configure.log 2>&1 || { cat build/configure.log; exit 1; }
	@cmake --build --preset release -j $(JOBS)

test: build
	@.ci/test

lint: packages
	@.ci/lint

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.hpp' | xargs -r clang-format -i

schema:
	@cd lib/liboriole/schema && capnp compile -oc++ oriole.capnp
	@cd lib/libfleet/schema && capnp compile -oc++ fleet.capnp

demo: build
	@build/bin/demo

up: build
	@build/bin/demo --stay

bench: build
	@build/bin/bench

measure: build
	@build/bin/core_measure
	@build/bin/routing_measure
	@build/bin/capacity_measure
	@build/bin/policy_measure
	@build/bin/fleet_core_measure
	@build/bin/outage

# SEED=N plays the soak of oriolefleetd with that seed alone.
soak: build
ifdef SEED
	@build/bin/fleet_soak --seed $(SEED) --directory build/soak-$(SEED)
else
	@build/bin/fleet_soak
	@build/bin/soak
endif
