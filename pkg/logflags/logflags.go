// Package logflags creates the loggers, one for each category. Every event is one
// line of key=value pairs.
package logflags

import (
	"os"
	"slices"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/quaylead/quaylead/pkg/settings"
)

// Category is a layer of the software whose debug events can be enabled separately.
type Category string

// The categories.
const (
	Caller   Category = "caller"
	Pool     Category = "pool"
	Rollout  Category = "rollout"
	Peer     Category = "peer"
	Platform Category = "platform"
	Settings Category = "settings"
	Box      Category = "box"
)

// Logs creates loggers according to the settings.
type Logs struct {
	Settings settings.Log
	// Buffer receives the lines; nil means standard error, unbuffered.
	Buffer *Buffer

	// loggers holds the loggers by category; nil means that For creates one at
	// each call.
	loggers map[Category]*zap.Logger
}

// Categories lists all categories.
var Categories = []Category{Caller, Pool, Rollout, Peer, Platform, Settings, Box}

// Cached returns logs whose loggers are created once.
func (l Logs) Cached() Logs {
	loggers := map[Category]*zap.Logger{}
	for _, category := range Categories {
		loggers[category] = l.For(category)
	}
	l.loggers = loggers
	return l
}

// Dropped returns the number of lines that were dropped because the buffer was full.
func (l Logs) Dropped() int64 {
	if l.Buffer == nil {
		return 0
	}
	return l.Buffer.Dropped()
}

// For returns the logger of a category.
func (l Logs) For(category Category) *zap.Logger {
	if logger := l.loggers[category]; logger != nil {
		return logger
	}
	level := zapcore.InfoLevel
	if parsed, err := zapcore.ParseLevel(l.Settings.Level); err == nil {
		level = parsed
	}
	if slices.Contains(l.Settings.Categories, string(category)) {
		level = zapcore.DebugLevel
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "Time"
	config.LevelKey = "Level"
	config.MessageKey = "Event"
	config.NameKey = "Category"
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), l.output(), level)
	return zap.New(core).Named(string(category))
}

func (l Logs) output() zapcore.WriteSyncer {
	if l.Buffer == nil {
		return zapcore.Lock(os.Stderr)
	}
	return l.Buffer
}
