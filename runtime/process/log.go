package process

import (
	"fmt"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wallport/runtime/kernel"
)

// Within a second, the first eventsPerSecond occurrences of an event are logged, and then one of every eventsPerLine.
const (
	eventsPerSecond = 20
	eventsPerLine   = 100
)

// sampled returns a log that writes, per event and second, the first eventsPerSecond lines and then one of every
// eventsPerLine. The counters still count every occurrence.
func sampled(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, eventsPerSecond, eventsPerLine)
	}))
}

// Sampled returns the log for events that clients and peers can cause. It limits the number of lines per
// event and second.
func (p *Process) Sampled() *zap.Logger { return p.sampledLog }

// zapLevels maps the levels of log events, starting with kernel.LevelDebug, to zap's levels.
var zapLevels = []zapcore.Level{zapcore.DebugLevel, zapcore.InfoLevel, zapcore.WarnLevel, zapcore.ErrorLevel}

func (p *Process) logEvent(event kernel.LogEvent) {
	level := min(max(event.Level, kernel.LevelDebug), kernel.LevelError)
	line := p.sampledLog.Check(zapLevels[level-kernel.LevelDebug], event.Event)
	if line == nil {
		return
	}
	fields := make([]zap.Field, 0, len(event.Fields)/2)
	for i := 0; i+1 < len(event.Fields); i += 2 {
		fields = append(fields, logField(fmt.Sprint(event.Fields[i]), event.Fields[i+1]))
	}
	line.Write(fields...)
}

// logField returns a log field for a plug-in's value. A value that would need reflection is formatted
// as text, because an encoder may panic on it.
func logField(key string, value any) zap.Field {
	if f := zap.Any(key, value); f.Type != zapcore.ReflectType {
		return f
	}
	return zap.String(key, fmt.Sprint(value))
}
