LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
FUMPT := mvdan.cc/gofumpt@v0.12.0
IMPORTS := golang.org/x/tools/cmd/goimports@v0.52.0
STRINGER := golang.org/x/tools/cmd/stringer@v0.52.0
PACKAGES := ./...
TESTS := find internal platform -name '*_test.go'
dirs = $(addprefix ./,$(sort $(dir $(1))))
# Packages with property tests know the flags that fix their seed.
RAPID := $(call dirs,$(shell $(TESTS) | xargs grep -l pgregory.net/rapid))
# Go's race detector lets two processors use one context of a synctest bubble and crashes
# (docs/notes/race-detector.md): under it bubbles get one, and all of them without it.
BUBBLES := $(call dirs,$(shell $(TESTS) | xargs grep -l '"testing/synctest"'))
# Tests that bound the memory and descriptors of processes run by themselves.
CROWDS := ./internal/app/crowd/
OTHERS := $(filter-out $(BUBBLES) $(CROWDS),$(call dirs,$(shell find internal platform -name '*.go')))
ONE := -exec 'env GOMAXPROCS=1'
SEEDED := -rapid.seed=1 -rapid.nofailfile
# On one processor with the race detector a package may need more than twenty minutes.
GOTEST := go test -count=1 -timeout 45m

# The tests and subtests that KNOWN-RED.txt names are passed over; .ci/run prints them.
RED := $(shell awk '/^Test/ {gsub("/", "$$/^", $$1); printf "%s^%s$$", n++ ? "|" : "", $$1}' KNOWN-RED.txt)
SKIP := $(if $(RED),-skip '$(RED)')

.PHONY: build deploy test check format lint generate fresh bench tools

build:
	go build -o fulmarwick .

# The build line of the platform's deploy file.
deploy:
	$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)

test:
	$(GOTEST) $(SKIP) $(CROWDS)
	$(GOTEST) $(SKIP) $(filter-out $(RAPID),$(BUBBLES))
	$(GOTEST) $(SKIP) $(filter $(RAPID),$(BUBBLES)) $(SEEDED)
	$(GOTEST) -race $(SKIP) $(filter-out $(RAPID),$(OTHERS))
	$(GOTEST) -race $(SKIP) $(filter $(RAPID),$(OTHERS)) $(SEEDED)
	$(GOTEST) -race $(SKIP) $(ONE) $(filter-out $(RAPID),$(BUBBLES))
	$(GOTEST) -race $(SKIP) $(ONE) $(filter $(RAPID),$(BUBBLES)) $(SEEDED)

check: fresh lint build deploy test

format:
	go run $(IMPORTS) -local fulmarwick -w main.go internal platform
	go run $(FUMPT) -w main.go internal platform

lint:
	@out=$$(go run $(IMPORTS) -local fulmarwick -l main.go internal platform && go run $(FUMPT) -l main.go internal platform); test -z "$$out" || { echo "not formatted: $$out"; exit 1; }
	go vet $(PACKAGES)
	go run $(LINT) run

tools:
	go install $(STRINGER)

generate: tools
	PATH="$$(go env GOPATH)/bin:$$PATH" go generate $(PACKAGES)

fresh: generate
	@git diff --exit-code --stat -- '*_string.go' || { echo "generated code is stale: run make generate"; exit 1; }

bench:
	go test -run '^$$' -bench . -benchtime 1x $(PACKAGES)
