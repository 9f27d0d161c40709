// Quaylead is the router that runs on every box.
package main

import (
	"os"

	"github.com/quaylead/quaylead/cmd/quaylead/cmds"
)

func main() {
	os.Exit(cmds.Execute())
}
