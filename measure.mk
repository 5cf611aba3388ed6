# Measurements and benchmarks, included by the Makefile.

.PHONY: measure chance bench

# measure prints the table of docs/policy.md. It uses virtual time and fixed seeds,
# so that only the lines marked as wall time differ between runs.
measure:
	$(GO) test -tags measure ./internal/version/placement/measure -run 'TestTable$$' -count=1 -v

# chance prints the table of docs/policy.md on crashes by chance, in about two minutes of
# processor time.
chance:
	$(GO) test -tags measure ./internal/version/crash -run 'TestChance$$' -count=1 -v

bench:
	$(GO) test ./internal/version/placement ./internal/version/state ./internal/version/raft ./internal/version/crash ./internal/process/leader \
	  ./internal/connection/... ./internal/request/route -run '^$$' -bench . -benchmem -benchtime 300ms
