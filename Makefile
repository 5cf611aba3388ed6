.PHONY: run test build lint model measure bench soak

# GOFLAGS apply to every target; -trimpath keeps local paths out of the binaries.
GO := go

build:
	$(GO) build -trimpath -o bin/ ./cmd/...

lint:
	@files=$$(gofmt -l cmd internal pkg); if [ -n "$$files" ]; then echo "gofmt would change:"; echo "$$files"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

run: build
	@./bin/trial

test: lint build
	$(GO) test ./...
