package carry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lagoondrum/io/conf"
)

// settingsInterval is the time between checks of the settings file, which may
// change without a signal.
const settingsInterval = time.Second

// settingsWatcher reloads the settings on SIGHUP or when the file has
// changed.
type settingsWatcher struct {
	set     *conf.Settings // In force.
	log     *zap.Logger
	apply   func(set *conf.Settings)
	sighups chan os.Signal
}

func newSettingsWatcher(set *conf.Settings, log *zap.Logger, apply func(*conf.Settings)) *settingsWatcher {
	wtc := &settingsWatcher{set: set, log: log, apply: apply, sighups: make(chan os.Signal, 1)}
	signal.Notify(wtc.sighups, syscall.SIGHUP)
	return wtc
}

// Serve watches for changes until ctx ends.
func (wtc *settingsWatcher) Serve(ctx context.Context) error {
	poll := time.NewTicker(settingsInterval)
	defer poll.Stop()
	lastModTime := wtc.modTime()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wtc.sighups:
			wtc.reload("signal")
			lastModTime = wtc.modTime()
		case <-poll.C:
			if stamp := wtc.modTime(); stamp != lastModTime {
				lastModTime = stamp
				wtc.reload("file changed")
			}
		}
	}
}

// modTime returns when the file was last modified, the zero time if it cannot be
// read.
func (wtc *settingsWatcher) modTime() time.Time {
	info, err := os.Stat(wtc.set.Path())
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (wtc *settingsWatcher) reload(reason string) {
	set, err := wtc.set.Reload()
	if err != nil {
		wtc.log.Error("settings refused, keeping the previous ones", zap.String("reason", reason), zap.Error(err))
		return
	}
	logUnusable(set, wtc.log)
	wtc.set = set
	wtc.apply(set)
	wtc.log.Info("settings reloaded", zap.String("reason", reason))
}

// logUnusable logs the values of the settings file in place of which others are in force.
func logUnusable(set *conf.Settings, log *zap.Logger) {
	if err := set.Unusable(); err != nil {
		log.Error("unusable settings", zap.Error(err))
	}
}
