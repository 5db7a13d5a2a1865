// Command beechwing-control is a control server, one of the processes that form the control plane of the mesh. The control
// servers track hosts and proxies, store the configuration on a majority of their disks and distribute it to all proxies, and
// bind the key of each operation to a single run.
package main

import (
	"fmt"
	"os"

	"beechwing/internal/mesh/cli"
	"beechwing/internal/mesh/routeconfig/validate"
)

func main() { os.Exit(Main()) }

// Main runs the command line and returns the exit status.
func Main() int {
	return cli.Main(cli.Program{Name: "beechwing-control", Short: "control plane of the mesh", Run: run, EjectionCommands: true,
		Check: func(text []byte) (string, error) {
			version, err := validate.New().Check(text)
			return fmt.Sprintf("r%d: valid", version), err
		}})
}
