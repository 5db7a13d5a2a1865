// Command guildhall is the control plane of the mesh: it knows which hosts and proxies there are, keeps the configuration on a
// majority of disks and brings it to all, and binds each operation's key to one run.
package main

import (
	"fmt"
	"os"

	"beechwing/internal/market/charter/assay"
	"beechwing/internal/market/shop"
)

func main() { os.Exit(Main()) }

// Main runs the command line and gives the exit status.
func Main() int {
	return shop.Main(shop.Program{Name: "guildhall", Short: "control plane of the mesh", Run: run, Orders: true,
		Check: func(text []byte) (string, error) {
			edition, err := assay.New().Check(text)
			return fmt.Sprintf("r%d: valid", edition), err
		}})
}
