package carry

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"lagoondrum/io/conf"
)

// writeGrace writes a settings file with a grace time and a zone.
func writeGrace(t *testing.T, file, grace, zone string) {
	t.Helper()
	text := fmt.Sprintf("[process]\nzone = %s\n[packets]\ngraceSeconds = %s\n", zone, grace)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
}

// Guards against changed settings that a running process ignores as a whole because one
// figure cannot be used.
func TestReloadAppliesWhatCanBeUsed(t *testing.T) {
	for grace, unusable := range map[string]int{"6.5": 0, "true": 1} {
		t.Run(grace, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.ini")
			writeGrace(t, file, "5", "a")
			set, err := conf.Load(file)
			assert.NilError(t, err)
			core, logged := observer.New(zap.InfoLevel)
			var applied *conf.Settings
			wtc := newSettingsWatcher(set, zap.New(core), func(set *conf.Settings) { applied = set })
			writeGrace(t, file, grace, "b")
			wtc.reload("test")
			assert.Equal(t, applied.Place().Zone(), "b")
			assert.Equal(t, logged.FilterMessage("unusable settings").Len(), unusable)
			assert.Equal(t, logged.FilterMessage("settings reloaded").Len(), 1)
		})
	}
}

// Guards against a balancer that is killed before it has left, because it waits for the
// grace time that was in force at its start.
func TestBalancerLeavesWithinTheGraceTimeInForce(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.ini")
	writeGrace(t, file, "60", "a")
	set, err := conf.Load(file)
	assert.NilError(t, err)
	blc := &balancer{base: &base{settings: set, log: zap.NewNop()}, lastPacketAt: time.Now().Add(time.Hour)}
	writeGrace(t, file, "1.5", "a")
	blc.settings, err = set.Reload()
	assert.NilError(t, err)
	begun := time.Now()
	blc.leave(begun)
	assert.Assert(t, time.Since(begun) < 1500*time.Millisecond)
}
