package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/gateway"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/settings"
	"github.com/quaylead/quaylead/platform"
)

// storeTimeout bounds one call to the store, in addition to the time that a feed call asks it to
// wait. The store normally responds within 10 ms, and takes 60 times as long when it is slow.
const storeTimeout = time.Second

func gatewayCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "gateway",
		Short: "Serve callers on the platform, configured by its catalog",
		Long: "Serve callers on the platform. The settings file is named by --settings or by\n" +
			"the variable " + platform.SettingsVariable + ". SIGTERM begins a planned stop; on SIGHUP the\n" +
			"settings file is checked again.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return serveOnPlatform(ctx, settingsFile(opts))
		},
	}
}

func settingsFile(opts *options) string {
	if opts.file != "" {
		return opts.file
	}
	return os.Getenv(platform.SettingsVariable)
}

func serveOnPlatform(ctx context.Context, file string) error {
	buffer := &logflags.Buffer{Out: os.Stdout}
	logs := logflags.Logs{Settings: settings.Log{Level: "info"}, Buffer: buffer}.Cached()
	loaded, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	metrics := &gateway.Metrics{}
	metrics.Publish()
	store := &platform.Store{Address: loaded.StoreAddress, Timeout: storeTimeout, Log: logs.For(logflags.Platform)}
	box := &gateway.Gateway{
		Settings:   loaded.Box,
		Translator: platform.Translator{},
		Store:      platform.Registry{Store: store},
		Logs:       logs,
		Metrics:    metrics,
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	group := errgroup.Group{}
	group.Go(func() error { return buffer.Run(background) })
	group.Go(func() error { return checkOnHangup(background, file, logs) })
	err = box.Run(ctx)
	stop()
	_ = group.Wait()
	return err
}

// checkOnHangup reads the settings file again on SIGHUP and logs whether it is valid. Changes in
// it take effect at the next start; what can change in a running process is in the catalog.
func checkOnHangup(ctx context.Context, file string, logs logflags.Logs) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	log := logs.For(logflags.Settings)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			loaded, err := platform.LoadSettings(file)
			log.Info("settings file read again", zap.String("Store", loaded.StoreAddress), zap.Error(err))
		}
	}
}
