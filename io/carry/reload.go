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

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = time.Second

// settingsWatch takes changed settings into use, on SIGHUP or when the file has
// changed.
type settingsWatch struct {
	path  string
	log   *zap.Logger
	adopt func(set *conf.Settings)
	hups  chan os.Signal
}

func newSettingsWatch(path string, log *zap.Logger, adopt func(*conf.Settings)) *settingsWatch {
	wtc := &settingsWatch{path: path, log: log, adopt: adopt, hups: make(chan os.Signal, 1)}
	signal.Notify(wtc.hups, syscall.SIGHUP)
	return wtc
}

// Serve watches until ctx ends.
func (wtc *settingsWatch) Serve(ctx context.Context) error {
	look := time.NewTicker(settingsInterval)
	defer look.Stop()
	seen := wtc.stamp()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wtc.hups:
			wtc.reload("signal")
			seen = wtc.stamp()
		case <-look.C:
			if stamp := wtc.stamp(); stamp != seen {
				seen = stamp
				wtc.reload("file changed")
			}
		}
	}
}

// stamp tells versions of the file apart. A file that cannot be read has none.
func (wtc *settingsWatch) stamp() time.Time {
	info, err := os.Stat(wtc.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (wtc *settingsWatch) reload(reason string) {
	set, err := conf.Load(wtc.path)
	if err != nil {
		wtc.log.Error("settings refused, the old ones hold", zap.String("reason", reason), zap.Error(err))
		return
	}
	wtc.adopt(set)
	wtc.log.Info("settings reloaded", zap.String("reason", reason))
}
