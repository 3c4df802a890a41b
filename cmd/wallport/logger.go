package main

import (
	"fmt"
	"os"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wallport/runtime/asynclog"
)

// newLogger returns a logger that writes lines in logfmt to standard error, each with the name of the process. A reader
// that is slow or gone does not block it: lines are dropped then, and counted in a line of their own. An unknown
// level means "info".
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

// lostLinesRecord returns the line that counts the lines dropped.
func lostLinesRecord(n int) []byte {
	return fmt.Appendf(nil, "level=warn event=log_lines_lost n=%d\n", n)
}
