// Command beechwing-sim hosts balancer instances for the simulator's wire on standard input and output.
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
