MODULES = api pkg standin cmd

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

test:
	go test -race -count=1 $(MODULES:%=./%/...)
