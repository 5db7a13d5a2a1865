// Command beechwing-sim runs balancer instances for the simulator, with which it communicates on standard input and output. See
// package simwire for the protocol.
package main

import (
	"fmt"
	"os"

	"beechwing/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "beechwing-sim:", err)
		os.Exit(1)
	}
}
