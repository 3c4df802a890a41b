package main

import (
	"fmt"
	"os"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wallport/runtime/asynclog"
)

// newLogger returns a logger that writes logfmt lines with the name of the process to standard error. It does not block
// if the reader of standard error is slow or gone: it then drops lines and logs their number in a separate line. An
// unknown level means "info".
func newLogger(level, name string) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.MessageKey = "event"
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		minLevel = zapcore.InfoLevel
	}
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoding), asynclog.New(os.Stderr, lostLinesRecord), minLevel)).With(zap.String("who", name))
}

// lostLinesRecord returns the log line with the number of dropped lines.
func lostLinesRecord(n int) []byte {
	return fmt.Appendf(nil, "level=warn event=log_lines_lost n=%d\n", n)
}
