GO ?= go

.PHONY: build run test bench fuzz lint

build:
	$(GO) build -o bin/ ./cmd/...

run: build
	scripts/run.sh

test:
	$(GO) test -count=1 -timeout 40m ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

fuzz:
	$(GO) test ./core/... -rapid.checks=20000

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck -checks all,-ST1000 ./...
