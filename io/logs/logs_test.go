package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// pipe is an output that nobody reads until it is opened.
type pipe struct {
	open chan struct{}
	got  bytes.Buffer
}

func (pip *pipe) Write(line []byte) (int, error) {
	<-pip.open
	return pip.got.Write(line)
}

func TestFullPipeNeverBlocks(t *testing.T) {
	pip := &pipe{open: make(chan struct{})}
	opt := NewOutput(pip)
	for range 2 * queueLines {
		_, err := opt.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, opt.Dropped() >= queueLines-1)
	close(pip.open)
	opt.Close(time.Now().Add(10 * time.Second))
	assert.Equal(t, uint64(strings.Count(pip.got.String(), "\n"))+opt.Dropped(), uint64(2*queueLines))
}

func TestFirstLinesOfEveryMessageAreKept(t *testing.T) {
	pip := &pipe{open: make(chan struct{})}
	close(pip.open)
	opt := NewOutput(pip)
	log := newLogger("p", zap.InfoLevel, opt)
	for range 10 * sampleFirst {
		log.Info("flow opened")
	}
	log.Info("flow reset")
	opt.Close(time.Now().Add(10 * time.Second))
	assert.Equal(t, strings.Count(pip.got.String(), "flow reset"), 1)
	assert.Assert(t, strings.Count(pip.got.String(), "flow opened") >= sampleFirst)
	assert.Assert(t, opt.Dropped() > 0)
}
