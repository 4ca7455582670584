package main

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"tarragongauge.example/tarragongauge/internal/conf"
)

// newLogger returns a logger with fields in snake case. Level debug shows logr's V(1).
func newLogger(c conf.Log, w io.Writer) logr.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey, enc.MessageKey, enc.StacktraceKey = "time", "message", "stack_trace"
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	encoder := zapcore.NewJSONEncoder(enc)
	if c.Format == "text" {
		encoder = zapcore.NewConsoleEncoder(enc)
	}
	levels := map[string]zapcore.Level{"debug": zapcore.DebugLevel, "info": zapcore.InfoLevel, "error": zapcore.ErrorLevel}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), levels[c.Level])
	return zapr.NewLogger(zap.New(core))
}
