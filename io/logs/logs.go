// Package logs writes structured logs to standard output without ever blocking
// who logs: lines are sampled by message, and dropped and counted when the
// output does not keep up.
package logs

import (
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of the volume.
const (
	sampleInterval = time.Second
	sampleFirst    = 50  // Lines of one message in an interval that are all written, the first cases of everything among them.
	sampleThen     = 100 // Beyond them every so manieth line.
	queueLines     = 1024
)

// Output is an asynchronous writer of lines.
type Output struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewOutput returns a writer to out, which may block.
func NewOutput(out io.Writer) *Output {
	opt := &Output{lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go opt.run(out)
	return opt
}

func (opt *Output) run(out io.Writer) {
	defer close(opt.done)
	for {
		select {
		case line := <-opt.lines:
			opt.emit(out, line)
		case <-opt.stop:
			for len(opt.lines) > 0 {
				opt.emit(out, <-opt.lines)
			}
			return
		}
	}
}

func (opt *Output) emit(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		opt.dropped.Add(1) // Nobody reads the logs; there is no better place to say so than the count.
	}
}

// Write queues a line. It never blocks and never fails.
func (opt *Output) Write(line []byte) (int, error) {
	select {
	case opt.lines <- append([]byte(nil), line...):
	default:
		opt.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: a caller must not wait for the output.
func (opt *Output) Sync() error { return nil }

// Dropped returns how many lines were not written.
func (opt *Output) Dropped() uint64 { return opt.dropped.Load() }

// Close writes what is queued, for a limited time. Later lines are lost.
func (opt *Output) Close(deadline time.Time) {
	opt.once.Do(func() { close(opt.stop) })
	select {
	case <-opt.done:
	case <-time.After(time.Until(deadline)):
	}
}

// New returns a logger of a process that writes to standard output from a level
// on, and its output.
func New(process string, level zapcore.Level) (*zap.Logger, *Output) {
	opt := NewOutput(os.Stdout)
	return newLogger(process, level, opt), opt
}

func newLogger(process string, level zapcore.Level, opt *Output) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.CallerKey = zapcore.OmitKey
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), opt, level)
	sampled := zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleThen,
		zapcore.SamplerHook(func(_ zapcore.Entry, dec zapcore.SamplingDecision) {
			if dec&zapcore.LogDropped != 0 {
				opt.dropped.Add(1)
			}
		}))
	return zap.New(sampled).With(zap.String("process", process))
}

// Age returns the field of how old something is, and none for what never was.
func Age(key string, since, now time.Time) zap.Field {
	if since.IsZero() {
		return zap.Skip()
	}
	return zap.Duration(key, now.Sub(since))
}
