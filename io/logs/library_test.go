package logs

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

func TestLibraryMessagesAreLoggedInOneFormat(t *testing.T) {
	core, logged := observer.New(zapcore.DebugLevel)
	wrt := &libraryWriter{zap.New(core)}
	wrt.Error("open cgroup: no such file")
	wrt.Severe("out of descriptors")
	assert.Equal(t, logged.Len(), 2)
	for i, level := range []zapcore.Level{zapcore.DebugLevel, zapcore.ErrorLevel} {
		assert.Equal(t, logged.All()[i].Level, level)
		assert.Equal(t, logged.All()[i].Message, "library")
	}
}
