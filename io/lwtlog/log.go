// Package lwtlog writes one key=value line per event.
package lwtlog

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes logfmt lines with a UTC timestamp to w. Events below
// minLevel ("debug", "info", "warn" or "error") are dropped. Any other minLevel means
// "info".
func New(w io.Writer, minLevel string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "time", log.DefaultTimestampUTC)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
}

// Info logs a normal event.
func Info(logger log.Logger, event string, keyvals ...any) {
	write(level.Info(logger), event, keyvals)
}

// Warn logs an event that may require action by an operator.
func Warn(logger log.Logger, event string, keyvals ...any) {
	write(level.Warn(logger), event, keyvals)
}

// Debug logs an event for troubleshooting.
func Debug(logger log.Logger, event string, keyvals ...any) {
	write(level.Debug(logger), event, keyvals)
}

func write(logger log.Logger, event string, keyvals []any) {
	// A write error can't be logged, so the line is lost.
	_ = logger.Log(append([]any{"event", event}, keyvals...)...)
}

// PrintfLogger adapts a logger to libraries that log with Printf.
type PrintfLogger struct {
	logger log.Logger
	event  string
}

// NewPrintfLogger returns a logger that logs each line as an event of level debug,
// because libraries mostly report broken connections, which are normal.
func NewPrintfLogger(logger log.Logger, event string) PrintfLogger {
	return PrintfLogger{logger: logger, event: event}
}

// Printf implements the logger interface of fasthttp and other libraries.
func (logger PrintfLogger) Printf(format string, args ...any) {
	Debug(logger.logger, logger.event, "detail", fmt.Sprintf(format, args...))
}
