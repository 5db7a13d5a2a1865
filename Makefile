.PHONY: check build
MODULE := balancer/balancer.go

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

check:
	@test -z "$$(gofmt -l .)" || { echo "gofmt wanted:"; gofmt -l .; exit 1; }
	go vet ./...
	go test -race ./...
	@n=$$(grep -c '[^[:space:]]' $(MODULE)); test $$n -le 810 || { echo "$(MODULE): $$n lines, 810 allowed"; exit 1; }
	@expand -t 4 $(MODULE) | awk 'length > 110 { print "$(MODULE):" NR ": longer than 110 columns"; bad = 1 } END { exit bad }'
