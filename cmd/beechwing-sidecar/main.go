// Command beechwing-sidecar is the data plane of the mesh: a proxy that runs beside each host. It receives requests from the host
// and from clients on its machine, picks a host of the requested service, and forwards each request to the sidecar beside that
// host, which passes it to the host.
package main

import (
	"fmt"
	"os"

	"beechwing/internal/mesh/cli"
	"beechwing/internal/mesh/routeconfig"
)

func main() { os.Exit(Main()) }

// Main runs the command line and returns the exit status.
func Main() int {
	return cli.Main(cli.Program{Name: "beechwing-sidecar", Short: "data plane of the mesh", Run: run,
		Check: func(text []byte) (string, error) {
			table, err := routeconfig.Compile(text)
			if err != nil {
				return "", err
			}
			return fmt.Sprintf("r%d: can be read; use beechwing-control check to validate it", table.Version), nil
		}})
}
