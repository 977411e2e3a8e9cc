MODULES = api pkg platform standin cmd

.PHONY: check fmt vet lint build test

check: fmt vet lint build test

fmt:
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

vet:
	go vet $(MODULES:%=./%/...)

lint:
	go tool staticcheck $(MODULES:%=./%/...)

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

# Tests listed in KNOWN-RED.txt, one on each line that begins with its name, are passed over and printed.
KNOWN_RED = $(shell sed -n 's,^\(Test[A-Z][^/ ]*\)/\([^ ]*\).*,^\1$$/^\2$$,p;s,^\(Test[A-Z][^/ ]*\)\( .*\)*$$,^\1$$,p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')

# These packages start fleets of processes, and check times, memory and descriptors: they run one at a time, after all others.
LONE = ./standin/dev/... ./cmd/scenarios/... ./platform/...

test:
	@if [ -f KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi
	go test -race -count=1 -timeout 30m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $$(go list $(MODULES:%=./%/...) | grep -vxF "$$(go list $(LONE))")
	go test -race -count=1 -timeout 30m -p 1 $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $(LONE)
