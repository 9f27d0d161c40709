// Package logflags makes the loggers, one category for each layer. Every event
// is one line of key=value pairs.
package logflags

import (
	"os"
	"slices"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/quaylead/quaylead/pkg/settings"
)

// Category is a layer whose events can be switched on by themselves.
type Category string

// The categories.
const (
	Caller   Category = "caller"
	Pool     Category = "pool"
	Peer     Category = "peer"
	Platform Category = "platform"
	Settings Category = "settings"
	Box      Category = "box"
)

// Logs makes loggers by what the settings select.
type Logs struct {
	Settings settings.Log
}

// For returns the logger of a category.
func (l Logs) For(category Category) *zap.Logger {
	level := zapcore.InfoLevel
	if parsed, err := zapcore.ParseLevel(l.Settings.Level); err == nil {
		level = parsed
	}
	if slices.Contains(l.Settings.Categories, string(category)) {
		level = zapcore.DebugLevel
	}
	keys := zap.NewProductionEncoderConfig()
	keys.TimeKey = "Time"
	keys.LevelKey = "Level"
	keys.MessageKey = "Event"
	keys.NameKey = "Category"
	keys.EncodeTime = zapcore.ISO8601TimeEncoder
	keys.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(keys), zapcore.Lock(os.Stderr), level)
	return zap.New(core).Named(string(category))
}
