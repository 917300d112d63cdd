// Package jklog provides the structured logger of all components. The messages of each
// component start with a fixed prefix, its name.
package jklog

import (
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Logger writes structured log lines for one component.
type Logger struct {
	base   log.Logger
	prefix string
}

// New returns a logfmt logger that adds the time returned by now to each line.
func New(w io.Writer, now func() time.Time) Logger {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	stamp := log.Valuer(func() any { return now().UTC().Format(time.RFC3339Nano) })
	return Logger{base: log.With(base, "time", stamp)}
}

// Discard returns a logger that discards every line.
func Discard() Logger { return Logger{base: log.NewNopLogger()} }

// Allow returns a logger that drops lines below a minimum level: debug, info, warn or
// error. An unknown level counts as info.
func (l Logger) Allow(minLevel string) Logger {
	return Logger{base: level.NewFilter(l.base, level.Allow(level.ParseDefault(minLevel, level.InfoValue()))), prefix: l.prefix}
}

// Part returns a logger whose messages start with the name of a component.
func (l Logger) Part(name string) Logger {
	return Logger{base: l.base, prefix: name + ": "}
}

// Debug logs an event that is useful only for troubleshooting.
func (l Logger) Debug(message string, pairs ...any) {
	l.write(level.Debug(l.base), message, pairs)
}

// Info logs a normal event. Pairs are alternating keys and values.
func (l Logger) Info(message string, pairs ...any) {
	l.write(level.Info(l.base), message, pairs)
}

// Warn logs an event that may need an operator's attention.
func (l Logger) Warn(message string, pairs ...any) {
	l.write(level.Warn(l.base), message, pairs)
}

// Error logs a failure with its cause.
func (l Logger) Error(message string, err error, pairs ...any) {
	l.write(level.Error(l.base), message, append([]any{"error", fmt.Sprint(err)}, pairs...))
}

func (l Logger) write(to log.Logger, message string, pairs []any) {
	// There is no place to report that a log write failed.
	_ = to.Log(append([]any{"message", l.prefix + message}, pairs...)...)
}
