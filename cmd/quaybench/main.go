// Quaybench starts small fleets on one machine, sends load, injects faults and
// measures the results.
package main

import (
	"os"

	"github.com/quaylead/quaylead/cmd/quaybench/cmds"
)

func main() {
	os.Exit(cmds.Execute())
}
