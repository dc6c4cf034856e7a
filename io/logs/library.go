package logs

import (
	"fmt"

	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
)

// libraryWriter passes what go-zero logs on to a process's logger. The library
// reports as errors what it does without, such as a cgroup that it cannot read, so
// only its severe messages are errors here.
type libraryWriter struct{ log *zap.Logger }

func (wrt *libraryWriter) debug(message any) {
	wrt.log.Debug("library", zap.String("name", "go-zero"), zap.String("text", fmt.Sprint(message)))
}

func (wrt *libraryWriter) Alert(message any)                     { wrt.debug(message) }
func (wrt *libraryWriter) Close() error                          { return nil }
func (wrt *libraryWriter) Debug(message any, _ ...logx.LogField) { wrt.debug(message) }
func (wrt *libraryWriter) Error(message any, _ ...logx.LogField) { wrt.debug(message) }
func (wrt *libraryWriter) Info(message any, _ ...logx.LogField)  { wrt.debug(message) }
func (wrt *libraryWriter) Slow(message any, _ ...logx.LogField)  { wrt.debug(message) }
func (wrt *libraryWriter) Stack(message any)                     { wrt.debug(message) }
func (wrt *libraryWriter) Stat(message any, _ ...logx.LogField)  { wrt.debug(message) }

// Severe logs a message after which the library cannot go on.
func (wrt *libraryWriter) Severe(message any) {
	wrt.log.Error("library", zap.String("name", "go-zero"), zap.String("text", fmt.Sprint(message)))
}
