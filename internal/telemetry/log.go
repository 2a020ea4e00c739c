// Package telemetry sets up what a process exposes to its operator: structured
// logs that name the part they come from, metrics, and, in package tracing,
// traces.
package telemetry

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// PartField is the log field that names the part of the process.
const PartField = "part"

// NewLogger returns a logger that writes one JSON object per line to w, each
// with the name and id of the process.
func NewLogger(w io.Writer, process, id string, level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(level).With().Timestamp().Str("process", process).Str("id", id).Logger()
}

// PartLogger returns a logger that adds part to every line, such as
// "gateway/limit".
func PartLogger(log zerolog.Logger, part string) zerolog.Logger {
	return log.With().Str(PartField, part).Logger()
}
