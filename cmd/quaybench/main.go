// Quaybench starts small fleets on one machine, loads them, breaks them and
// measures them.
package main

import (
	"os"

	"github.com/quaylead/quaylead/cmd/quaybench/cmds"
)

func main() {
	os.Exit(cmds.Execute())
}
