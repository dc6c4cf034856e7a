// Package logs writes structured logs to standard output. Logging never blocks:
// lines are sampled by message, and lines that the output is too slow to take are
// dropped and counted.
package logs

import (
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits on the number of lines.
const (
	sampleInterval = time.Second
	sampleFirst    = 50  // The first lines of a message in each interval are all written, so that the first occurrences of every message are kept.
	sampleThen     = 100 // After sampleFirst lines, every 100th line of the message is written.
	queueLines     = 1024
)

// Output is a writer that queues lines and writes them in the background.
type Output struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewOutput returns an Output that writes to dst, whose writes may block.
func NewOutput(dst io.Writer) *Output {
	out := &Output{lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go out.run(dst)
	return out
}

func (out *Output) run(dst io.Writer) {
	defer close(out.done)
	for {
		select {
		case line := <-out.lines:
			out.writeLine(dst, line)
		case <-out.stop:
			for len(out.lines) > 0 {
				out.writeLine(dst, <-out.lines)
			}
			return
		}
	}
}

func (out *Output) writeLine(dst io.Writer, line []byte) {
	if _, err := dst.Write(line); err != nil {
		out.dropped.Add(1) // No one reads the output, so the loss can only be counted.
	}
}

// Write queues a copy of a line. It never blocks and never fails.
func (out *Output) Write(line []byte) (int, error) {
	select {
	case out.lines <- append([]byte(nil), line...):
	default:
		out.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, because logging must not wait for the output.
func (out *Output) Sync() error { return nil }

// Dropped returns how many lines were not written: sampled out, dropped because the
// queue was full, or lost by a failed write.
func (out *Output) Dropped() uint64 { return out.dropped.Load() }

// Close writes the queued lines and returns when that is done, at deadline at the
// latest. Lines that are logged later are lost.
func (out *Output) Close(deadline time.Time) {
	out.once.Do(func() { close(out.stop) })
	select {
	case <-out.done:
	case <-time.After(time.Until(deadline)):
	}
}

// New returns a logger of a process that writes lines of level and above to standard
// output, and its Output. What libraries log goes to it too.
func New(process string, level zapcore.Level) (*zap.Logger, *Output) {
	out := NewOutput(os.Stdout)
	log := newLogger(process, level, out)
	logx.SetWriter(&libraryWriter{log})
	return log, out
}

func newLogger(process string, level zapcore.Level, out *Output) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.CallerKey = zapcore.OmitKey
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), out, level)
	sampled := zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleThen,
		zapcore.SamplerHook(func(_ zapcore.Entry, dec zapcore.SamplingDecision) {
			if dec&zapcore.LogDropped != 0 {
				out.dropped.Add(1)
			}
		}))
	return zap.New(sampled).With(zap.String("process", process))
}

// Age returns a field with the time between since and now, or no field when since is
// zero because the event has not happened.
func Age(key string, since, now time.Time) zap.Field {
	if since.IsZero() {
		return zap.Skip()
	}
	return zap.Duration(key, now.Sub(since))
}
