// Package lwtlog writes one key=value line per event.
package lwtlog

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes logfmt lines with a UTC time stamp to w.
// Lines below the least level ("debug", "info", "warn", "error") are dropped.
func New(w io.Writer, least string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "time", log.DefaultTimestampUTC)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(least, level.InfoValue())))
}

// Info logs an ordinary event.
func Info(logger log.Logger, event string, keyvals ...any) {
	write(level.Info(logger), event, keyvals)
}

// Warn logs an event that an operator may have to act on.
func Warn(logger log.Logger, event string, keyvals ...any) {
	write(level.Warn(logger), event, keyvals)
}

// Debug logs an event for the study of a fault.
func Debug(logger log.Logger, event string, keyvals ...any) {
	write(level.Debug(logger), event, keyvals)
}

func write(logger log.Logger, event string, keyvals []any) {
	// A log line that can't be written is lost; there is nowhere to report it.
	_ = logger.Log(append([]any{"event", event}, keyvals...)...)
}

// PrintfLogger passes what a library prints on as events of a logger.
type PrintfLogger struct {
	logger log.Logger
	event  string
}

// NewPrintfLogger returns a printer whose lines become events of level debug:
// broken connections are ordinary.
func NewPrintfLogger(logger log.Logger, event string) PrintfLogger {
	return PrintfLogger{logger: logger, event: event}
}

// Printf implements the loggers of fasthttp and other libraries.
func (printer PrintfLogger) Printf(format string, args ...any) {
	Debug(printer.logger, printer.event, "detail", fmt.Sprintf(format, args...))
}
