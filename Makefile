GO ?= go

.PHONY: build run test bench fuzz lint

build:
	$(GO) build -o bin/ ./cmd/...

run: build
	scripts/run.sh

test:
	GO=$(GO) scripts/test.sh

bench: build
	bin/bench

FUZZ_TIME ?= 30s

fuzz:
	$(GO) test ./core/model -count=1 -timeout 60m -rapid.checks=20000
	$(GO) test ./core/lists -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZ_TIME)
	$(GO) test ./core/frame -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZ_TIME)
	$(GO) test ./core/token -run '^$$' -fuzz FuzzOpen -fuzztime $(FUZZ_TIME)
	$(GO) test ./core/encap -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZ_TIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzParsePacket -fuzztime $(FUZZ_TIME)
	$(GO) test ./io/gossip -run '^$$' -fuzz FuzzDecodeUpdate -fuzztime $(FUZZ_TIME)
	$(GO) test ./io/peer -run '^$$' -fuzz FuzzStep -fuzztime $(FUZZ_TIME)

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck -checks all ./...
