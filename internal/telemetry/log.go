// Package telemetry creates the logger and the metrics of a process.
package telemetry

import (
	"fmt"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Format is the encoding of log lines.
type Format string

// The log formats.
const (
	FormatJSON    Format = "json"
	FormatConsole Format = "console"
)

// NewLogger returns a logger that writes lines of the level and above to out.
func NewLogger(out io.Writer, level string, format Format) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, &InvalidSettingError{Setting: "level", Value: level}
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	var encoder zapcore.Encoder
	switch format {
	case FormatJSON:
		encoder = zapcore.NewJSONEncoder(config)
	case FormatConsole:
		encoder = zapcore.NewConsoleEncoder(config)
	default:
		return nil, &InvalidSettingError{Setting: "format", Value: string(format)}
	}
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(out)), parsed)), nil
}

// InvalidSettingError reports a log setting with an unknown value.
type InvalidSettingError struct {
	Setting string
	Value   string
}

// Error returns the name of the setting and its value.
func (e *InvalidSettingError) Error() string {
	return fmt.Sprintf("log %s: unknown value %q", e.Setting, e.Value)
}
