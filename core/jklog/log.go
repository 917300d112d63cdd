// Package jklog builds the structured logger shared by all parts. Each part
// logs short sentences behind its fixed prefix.
package jklog

import (
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Logger writes structured lines for one part.
type Logger struct {
	base   log.Logger
	prefix string
}

// New returns a logfmt logger that stamps each line with the time that now
// returns.
func New(w io.Writer, now func() time.Time) Logger {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	stamp := log.Valuer(func() any { return now().UTC().Format(time.RFC3339Nano) })
	return Logger{base: log.With(base, "time", stamp)}
}

// Discard returns a logger that drops every line.
func Discard() Logger { return Logger{base: log.NewNopLogger()} }

// Allow returns a logger that drops lines below a level: debug, info, warn or
// error.
func (l Logger) Allow(lowest string) Logger {
	return Logger{base: level.NewFilter(l.base, level.Allow(level.ParseDefault(lowest, level.InfoValue()))), prefix: l.prefix}
}

// Part returns a logger whose messages start with the part's name.
func (l Logger) Part(name string) Logger {
	return Logger{base: l.base, prefix: name + ": "}
}

// Debug logs an event that matters only when a fault is looked for.
func (l Logger) Debug(message string, pairs ...any) {
	l.write(level.Debug(l.base), message, pairs)
}

// Info logs an ordinary event. Pairs are alternating keys and values.
func (l Logger) Info(message string, pairs ...any) {
	l.write(level.Info(l.base), message, pairs)
}

// Warn logs an event that an operator may have to look at.
func (l Logger) Warn(message string, pairs ...any) {
	l.write(level.Warn(l.base), message, pairs)
}

// Error logs a failure together with its cause.
func (l Logger) Error(message string, err error, pairs ...any) {
	l.write(level.Error(l.base), message, append([]any{"error", fmt.Sprint(err)}, pairs...))
}

func (l Logger) write(to log.Logger, message string, pairs []any) {
	// A failed log write has nowhere to be reported.
	_ = to.Log(append([]any{"message", l.prefix + message}, pairs...)...)
}
