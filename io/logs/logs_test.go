package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// pipe is a writer that blocks until open is closed, as a pipe without a reader does.
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
	out := NewOutput(pip)
	for range 2 * queueLines {
		_, err := out.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, out.Dropped() >= queueLines-1)
	close(pip.open)
	out.Close(time.Now().Add(10 * time.Second))
	assert.Equal(t, uint64(strings.Count(pip.got.String(), "\n"))+out.Dropped(), uint64(2*queueLines))
}

func TestFirstLinesOfEveryMessageAreKept(t *testing.T) {
	pip := &pipe{open: make(chan struct{})}
	close(pip.open)
	out := NewOutput(pip)
	log := newLogger("p", zap.InfoLevel, out)
	for range 10 * sampleFirst {
		log.Info("flow opened")
	}
	log.Info("flow reset")
	out.Close(time.Now().Add(10 * time.Second))
	assert.Equal(t, strings.Count(pip.got.String(), "flow reset"), 1)
	assert.Assert(t, strings.Count(pip.got.String(), "flow opened") >= sampleFirst)
	assert.Assert(t, out.Dropped() > 0)
}
