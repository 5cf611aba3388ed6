.PHONY: run test build lint model soak

# GOFLAGS of the environment applies to every target. -trimpath keeps local paths
# out of the binaries.
GO := go

build:
	$(GO) build -trimpath -o bin/ ./cmd/...

lint:
	@files=$$(gofmt -l cmd internal pkg platform); if [ -n "$$files" ]; then echo "gofmt would change:"; echo "$$files"; exit 1; fi
	$(GO) vet ./...
	$(GO) vet -tags capacity,measure ./internal/cell ./internal/version/placement/measure ./internal/version/crash
	$(GO) tool staticcheck ./...

run: build
	@./bin/trial

# The process tests build the programs that they run, which the test cache does not
# track. -count=1 bypasses the cache, so that every test runs.
test: lint build
	.ci/known $(GO) test -count=1 ./...
	@if command -v spin >/dev/null && command -v gcc >/dev/null || [ -n "$$CI" ]; then model/run.sh; \
	else echo "model checks not run: spin and gcc are needed"; fi

# model runs the model checker on the protocol specifications, with and without
# each guard.
model:
	model/run.sh

# soak runs the stateful property tests with more steps and a chosen seed, such as
# make soak SEED=7 STEPS=5000. With fewer than 100 steps, the test that random
# commands cover enough of the state machine fails.
SEED := 1
STEPS := 2000
soak:
	$(GO) test ./internal/version/raft ./internal/version/state ./internal/version/placement ./internal/request/route \
	  -count=1 -timeout 60m -args -rapid.seed=$(SEED) -rapid.checks=$(STEPS)

include measure.mk

# capacity measures the load of workers and tasks on the daemons, on this machine.
.PHONY: capacity
capacity:
	$(GO) test -tags capacity ./internal/cell -run TestCapacity -count=1 -v
