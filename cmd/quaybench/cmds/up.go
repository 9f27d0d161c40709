package cmds

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/quaylead/quaylead/cmd/quaybench/experiment"
	"github.com/quaylead/quaylead/cmd/quaybench/fleet"
	"github.com/quaylead/quaylead/pkg/settings"
)

func upCommand() *cobra.Command {
	opts := &runOptions{}
	command := &cobra.Command{
		Use:   "up",
		Short: "Start a small fleet and run it until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) error {
			return opts.up(command)
		},
	}
	opts.addFlags(command)
	return command
}

// up starts the fleet of the demo, prints commands to try, and waits for an
// interrupt.
func (o *runOptions) up(command *cobra.Command) error {
	bin, err := binDir()
	if err != nil {
		return err
	}
	dir, cleanup, err := o.outputDir()
	if err != nil {
		return err
	}
	defer cleanup()
	plan := experiment.Default().Fleet
	plan.Classes = map[string]settings.Class{"quick": {Quick: true, MaxOutputTokens: 32}}
	plan.Customers = map[string]settings.Customer{"ward-3": {Share: 1}, "camp-drive": {Share: 2}}
	f := &fleet.Fleet{Plan: plan, Bin: bin, Dir: filepath.Join(dir, "fleet")}
	ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	defer f.Stop()
	out := command.OutOrStdout()
	fmt.Fprintf(out, "A streamed answer from the first router:\n\n"+
		"  curl -N %s/v1/chat/completions \\\n"+
		"    -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n\n",
		f.Routers[0].CallerURL(), fleet.Key("ward-3"), fleet.Model)
	fmt.Fprintf(out, "A booking, which runs once however often it is sent:\n\n"+
		"  curl %s%s -X POST -H 'Authorization: Bearer %s' -H 'Idempotency-Key: one' -d '{}'\n\n",
		f.Routers[0].CallerURL(), fleet.BookingPath, fleet.Key("ward-3"))
	fmt.Fprintf(out, "The boxes, and a change of settings:\n\n"+
		"  bin/quayctl --box %[1]s status\n  bin/quayctl --box %[1]s apply %[2]s --wait\n\n"+
		"Interrupt to stop.\n", f.Routers[0].OperatorAddress, f.TreeFile())
	<-ctx.Done()
	return nil
}
