package process

import (
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap/zapcore"

	"wallport/runtime/wire"
)

func TestLogFieldsNeedNoReflection(t *testing.T) {
	for _, value := range []any{
		1, "a", []string{"a"}, true, uint64(7), []wire.Finding{{Path: "p"}}, map[string]int{"a": 1}, wire.Version{Term: 3}, &wire.Version{Term: 3}, nil,
	} {
		must.NotEq(t, zapcore.ReflectType, logField("key", value).Type, must.Sprint(value))
	}
	must.Eq(t, "{0 3 9}", logField("key", wire.Version{Term: 3, Seq: 9}).String)
}
