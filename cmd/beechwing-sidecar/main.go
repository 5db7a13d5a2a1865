// Command beechwing-sidecar is the data plane of the mesh: the proxy beside a host. A request from the host or a client on its machine
// goes to the proxy beside the host that the balancer picks, and from there to that host.
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
	return cli.Main(cli.Program{Name: "beechwing-sidecar", Short: "data plane of the mesh", Run: run, Check: func(text []byte) (string, error) {
		t, err := routeconfig.Compile(text)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("r%d: can be read; beechwing-control check says whether it is valid", t.Version), nil
	}})
}
