# Demonstrations, benchmarks, slopes, traces and longer checks.
.PHONY: demo bench slopes prove traces check-long

DEPLOYMENT ?= library

# Runs a whole deployment on loopback under load. It ends by itself within a
# minute.
demo: build
	scripts/demo.sh $(DEPLOYMENT)

# Checks the guarantees: first against recorded traces, then under failures of
# real processes.
prove: traces prove-failures

# Replays recorded traces and compares the results with the recorded outcomes.
traces: build
	bin/mangopost-load replay testdata/traces/*.jsonl

# Measures the costs per unit of load (slopes) that docs/CAPACITY.md multiplies.
slopes: build
	bin/mangopost-load slopes

# Measures the overhead of the request path, and runs paired experiments with the
# spread of their results.
EXPERIMENTS ?= experiments/queue-order.toml experiments/balancers.toml

bench: build
	scripts/bench.sh
	scripts/bench.sh $(EXPERIMENTS)

# Compares the shard planner with simpler ones over lists of loads.
.PHONY: bench-placement
bench-placement:
	go run ./bench/placement

# Measures the control-plane cost of a deployment without load.
.PHONY: idle
idle: build
	scripts/idle.sh $(DEPLOYMENT)

# Checks that take longer than those of CI: the traces, the exploration of the
# lease protocol, every fuzz target for FUZZ_TIME, and both deployments under
# load. "control" measures the control-plane cost by the number of targets in a
# cell.
FUZZ_TIME ?= 20s
.PHONY: check-long control fuzz
check-long: traces explore fuzz
	scripts/demo.sh library
	scripts/demo.sh magnolia

fuzz:
	@for dir in $$(grep -rl --include='*_test.go' '^func Fuzz' . | xargs -n1 dirname | sort -u); do \
		for name in $$(grep -ho '^func Fuzz[A-Za-z0-9_]*' $$dir/*_test.go | sed 's/func //'); do \
			echo "$$dir $$name"; \
			go test -run xxx -fuzz "^$$name$$" -fuzztime $(FUZZ_TIME) -fuzzminimizetime 20x -parallel 4 $$dir || exit 1; \
		done; \
	done

control: build
	scripts/control.sh checks
	scripts/control.sh plain

# Measures how long a configuration takes to be in force everywhere.
.PHONY: spread
spread: build
	scripts/spread.sh $(DEPLOYMENT)

# Explores many more event orders of the lease protocol than CI does.
.PHONY: explore
explore:
	MANGOPOST_CHECKS=2500 go test -count=1 -timeout 60m -run Explor ./lease

# Runs requests with one fault per second and checks the targets' run records.
SOAK_REQUESTS ?= 200000
.PHONY: soak
soak: build
	scripts/soak.sh $(DEPLOYMENT) $(SOAK_REQUESTS)

# Injects each failure of real processes repeatedly and prints a table of the
# guarantees with the measured times. Fails if a claimed row does not hold.
.PHONY: prove-failures
LOSSES ?= 10
ONLY ?=

prove-failures:
	MANGOPOST_PROVE=1 MANGOPOST_PROVE_LOSSES=$(LOSSES) MANGOPOST_PROVE_ONLY="$(ONLY)" \
		go test -count=1 -v -timeout 60m -run TestProofs ./internal/e2e

