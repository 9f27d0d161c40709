// Quayctl is the command-line tool of operators. It checks and applies settings, and
// shows and drains boxes.
package main

import (
	"os"

	"github.com/quaylead/quaylead/cmd/quayctl/cmds"
)

func main() {
	os.Exit(cmds.Execute())
}
