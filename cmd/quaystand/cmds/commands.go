// Package cmds is the command line of quaystand.
package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/cmd/quaystand/balancer"
	"github.com/quaylead/quaylead/cmd/quaystand/engine"
	"github.com/quaylead/quaylead/cmd/quaystand/plain"
	"github.com/quaylead/quaylead/cmd/quaystand/platform"
	"github.com/quaylead/quaylead/cmd/quaystand/truth"
)

// Execute runs the command line and returns the exit status.
func Execute() int {
	if err := New().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "quaystand:", err)
		return 1
	}
	return 0
}

// logOptions are the flags of the log of ground truth.
type logOptions struct {
	name string
	path string
}

func (o *logOptions) open() (*truth.Log, error) {
	log := &truth.Log{Endpoint: o.name}
	return log, log.Open(o.path)
}

// New returns the tree of commands.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "quaystand",
		Short:         "Run a stand-in of an endpoint or of the platform",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	opts := &logOptions{}
	flags := root.PersistentFlags()
	flags.StringVar(&opts.name, "name", "", "the stand-in's name in the ground truth")
	flags.StringVar(&opts.path, "log", "", "the file that the ground truth is appended to")
	root.AddCommand(engineCommand(opts), plainCommand(opts), platformCommand(opts), balancerCommand())
	return root
}

func engineCommand(opts *logOptions) *cobra.Command {
	e := &engine.Engine{}
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) (err error) {
			if e.Truth, err = opts.open(); err != nil {
				return err
			}
			return serve(command.Context(), e.Address, e.Handle, e.Leave)
		},
	}
	flags := command.Flags()
	flags.StringVar(&e.Address, "address", "127.0.0.1:9001", "IP and port")
	flags.IntVar(&e.Slots, "slots", 16, "requests in a batch")
	flags.IntVar(&e.KVTokens, "kv-tokens", 65536, "tokens in KV memory")
	flags.IntVar(&e.CacheTokens, "cache-tokens", 32768, "tokens in the prompt-prefix cache")
	flags.Float64Var(&e.PrefillRate, "prefill-rate", 20000, "prompt tokens a second")
	flags.DurationVar(&e.DecodeInterval, "decode-interval", 10*time.Millisecond, "time between tokens of one request")
	flags.DurationVar(&e.ReportLag, "report-lag", 200*time.Millisecond, "age of load reports")
	return command
}

func plainCommand(opts *logOptions) *cobra.Command {
	s := &plain.Service{}
	command := &cobra.Command{
		Use:   "plain",
		Short: "Run a plain service",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) (err error) {
			if s.Truth, err = opts.open(); err != nil {
				return err
			}
			return serve(command.Context(), s.Address, s.Handle, s.Leave)
		},
	}
	flags := command.Flags()
	flags.StringVar(&s.Address, "address", "127.0.0.1:9101", "IP and port")
	flags.DurationVar(&s.Latency, "latency", 5*time.Millisecond, "how long a call takes")
	flags.Float64Var(&s.ErrorRate, "error-rate", 0, "fraction of calls that answer 500 after running")
	return command
}

func platformCommand(opts *logOptions) *cobra.Command {
	p := &platform.Platform{}
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run the platform's table store, object store and box list",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) (err error) {
			if p.Truth, err = opts.open(); err != nil {
				return err
			}
			return serve(command.Context(), p.Address, p.Handle, func() {})
		},
	}
	flags := command.Flags()
	flags.StringVar(&p.Address, "address", "127.0.0.1:9201", "IP and port")
	flags.Float64Var(&p.WritesPerSecond, "writes", 400, "writes a second")
	flags.Float64Var(&p.ReadsPerSecond, "reads", 2000, "reads a second")
	flags.DurationVar(&p.ListLag, "list-lag", 5*time.Second, "age of the box list")
	return command
}

func balancerCommand() *cobra.Command {
	b := &balancer.Balancer{}
	var boxes []string
	command := &cobra.Command{
		Use:   "balancer",
		Short: "Run a balancer in front of boxes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) error {
			for _, box := range boxes {
				callers, operators, found := strings.Cut(box, "/")
				if !found {
					return fmt.Errorf("--box %q is not CALLERADDRESS/OPERATORADDRESS", box)
				}
				b.Boxes = append(b.Boxes, &balancer.Box{
					CallerAddress: callers,
					ReadyURL:      "http://" + operators + "/readyz",
				})
			}
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return b.Run(ctx)
		},
	}
	flags := command.Flags()
	flags.StringVar(&b.Address, "address", "127.0.0.1:9301", "IP and port")
	flags.StringArrayVar(&boxes, "box", nil, "a box, as CALLERADDRESS/OPERATORADDRESS")
	flags.DurationVar(&b.CheckInterval, "check-interval", 200*time.Millisecond, "time between readiness checks")
	return command
}

// serve runs a stand-in until SIGTERM or SIGINT, then lets it finish its current requests.
func serve(ctx context.Context, address string, handler fasthttp.RequestHandler, leave func()) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &fasthttp.Server{
		Handler:            handler,
		Name:               "quaystand",
		MaxRequestBodySize: 16 << 20,
		CloseOnShutdown:    true,
	}
	group := errgroup.Group{}
	group.Go(func() error { return server.ListenAndServe(address) })
	group.Go(func() error {
		<-ctx.Done()
		leave()
		return server.Shutdown()
	})
	return group.Wait()
}
