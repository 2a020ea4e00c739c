// Package telemetry sets up what an operator sees of a process: structured
// logs with a fixed prefix per part, metrics, and traces.
package telemetry

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// PartField is the log field that carries the fixed prefix of a part.
const PartField = "part"

// NewLogger returns a logger that writes one JSON object a line to w. The
// process name and its identity are on every line.
func NewLogger(w io.Writer, process, id string, level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(level).With().Timestamp().Str("process", process).Str("id", id).Logger()
}

// PartLogger returns a logger for one part of a process, such as "gateway/limit".
func PartLogger(log zerolog.Logger, part string) zerolog.Logger {
	return log.With().Str(PartField, part).Logger()
}
