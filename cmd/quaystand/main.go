// Quaystand runs the stand-ins that quaylead is tested and measured against.
package main

import (
	"os"

	"github.com/quaylead/quaylead/cmd/quaystand/cmds"
)

func main() {
	os.Exit(cmds.Execute())
}
