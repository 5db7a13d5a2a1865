// Command beechwing-control is the control plane of the mesh: it knows which hosts and proxies there are, keeps the configuration on a
// majority of disks and brings it to all, and binds each operation's key to one run.
package main

import (
	"fmt"
	"os"

	"beechwing/internal/mesh/cli"
	"beechwing/internal/mesh/routeconfig/validate"
)

func main() { os.Exit(Main()) }

// Main runs the command line and gives the exit status.
func Main() int {
	return cli.Main(cli.Program{Name: "beechwing-control", Short: "control plane of the mesh", Run: run, EjectionCommands: true,
		Check: func(text []byte) (string, error) {
			edition, err := validate.New().Check(text)
			return fmt.Sprintf("r%d: valid", edition), err
		}})
}
