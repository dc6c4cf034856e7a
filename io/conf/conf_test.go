package conf_test

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/io/conf"
)

func TestDefaultsWorkWithoutAFile(t *testing.T) {
	set, err := conf.Load("")
	assert.NilError(t, err)
	assert.Equal(t, set.EntryPort(), 443)
	assert.Assert(t, set.AdminAddress().Addr().IsLoopback())
}

func TestSettingsAreRefused(t *testing.T) {
	for name, tc := range map[string]struct{ raw, want string }{
		"unknown section": {"[entries]\nport = 1\n", "s.ini:1: unknown section [entries]"},
		"list section":    {"[plan gold]\n", "s.ini:1: unknown section [plan gold]"},
		"unknown setting": {"[entry]\nports = 1\n", "s.ini:2: unknown setting ports"},
		"bad port":        {"[entry]\nport = 70000\n", "s.ini:2: port is"},
		"bad address":     {"[peer]\naddress = localhost:1\n", "s.ini:2: address is"},
		"public admin":    {"[admin]\naddress = 10.0.0.1:80\n", "cert, key and tokens have to be set"},
		"duplicate":       {"[entry]\nport = 1\nport = 2\n", "s.ini:3: key port stands already"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := conf.Parse("s.ini", []byte(tc.raw))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestHelpNamesEverySetting(t *testing.T) {
	assert.Assert(t, strings.Contains(conf.Help(), "| drain | seconds | 3600 | s |"))
}

// figures are the settings that a platform's figures fill, with a reader of each.
var figures = map[string]struct {
	section string
	value   func(set *conf.Settings) float64
}{
	"applyMillis":    {"platform", func(set *conf.Settings) float64 { return float64(set.MaxStateAge().Milliseconds()) }},
	"drainMillis":    {"platform", func(set *conf.Settings) float64 { return float64(set.MaxStateAge().Milliseconds()) }},
	"evacuateMillis": {"platform", func(set *conf.Settings) float64 { return float64(set.MaxStateAge().Milliseconds()) }},
	"coldOverage":    {"platform", func(set *conf.Settings) float64 { overage, _ := set.ColdAllowance(); return overage }},
	"coldSlack":      {"platform", func(set *conf.Settings) float64 { _, slack := set.ColdAllowance(); return slack }},
	"linkMbps":       {"packets", func(set *conf.Settings) float64 { return set.LinkBytes() * 8 / 1e6 }},
	"graceSeconds":   {"packets", func(set *conf.Settings) float64 { return set.GraceDeadline(now).Sub(now).Seconds() }},
}

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// writeSettings writes a settings file with one figure and another setting.
func writeSettings(t *testing.T, file, name, value, zone string) {
	t.Helper()
	text := fmt.Sprintf("[process]\nzone = %s\n[%s]\n%s = %s\n", zone, figures[name].section, name, value)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
}

// assertFigure checks the value in force of a figure, and that of the other setting.
func assertFigure(t *testing.T, set *conf.Settings, name string, want float64, zone string) {
	t.Helper()
	assert.Assert(t, math.Abs(figures[name].value(set)-want) < 1e-6, "%s is %g, not %g", name, figures[name].value(set), want)
	assert.Equal(t, set.Place().Zone(), zone)
}

// Guards against processes that do not start because a figure of the platform is a
// fraction.
func TestFiguresAreWholeNumbersOrFractions(t *testing.T) {
	for name := range figures {
		for value, want := range map[string]float64{"150": 150, "150.0": 150, "150.5": 150.5, "1.5e2": 150} {
			t.Run(name+" "+value, func(t *testing.T) {
				file := filepath.Join(t.TempDir(), "s.ini")
				writeSettings(t, file, name, value, "a")
				set, err := conf.Load(file)
				assert.NilError(t, err)
				assert.NilError(t, set.Unusable())
				if figures[name].section == "platform" && strings.HasSuffix(name, "Millis") {
					want = math.Floor(want)
				}
				assertFigure(t, set, name, want, "a")
			})
		}
	}
}

// Guards against processes that do not start, or ignore all other changes, because of
// one figure that cannot be used.
func TestUnusableFigureHoldsBackNoOtherSetting(t *testing.T) {
	for name := range figures {
		for _, value := range []string{"true", "", "-1", "NaN", "Inf", "6 s"} {
			t.Run(fmt.Sprintf("%s %q", name, value), func(t *testing.T) {
				file := filepath.Join(t.TempDir(), "s.ini")
				writeSettings(t, file, name, value, "a")
				set, err := conf.Load(file)
				assert.NilError(t, err)
				assert.ErrorContains(t, set.Unusable(), "s.ini:4: "+name)
				assertFigure(t, set, name, figures[name].value(conf.Default()), "a")
				writeSettings(t, file, name, "150", "b")
				set, err = set.Reload()
				assert.NilError(t, err)
				assert.NilError(t, set.Unusable())
				assertFigure(t, set, name, 150, "b")
				writeSettings(t, file, name, value, "c")
				set, err = set.Reload()
				assert.NilError(t, err)
				assert.ErrorContains(t, set.Unusable(), "s.ini:4: "+name)
				assertFigure(t, set, name, 150, "c")
			})
		}
	}
}

// A process must not start with a default address, but one that runs keeps its own.
func TestUnusableAddressIsRefusedAtTheStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.ini")
	write := func(text string) { assert.NilError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write("[platform]\naddress = x\n")
	_, err := conf.Load(file)
	assert.ErrorContains(t, err, "s.ini:2: address is")
	write("[process]\nzone = a\n[platform]\naddress = 10.0.0.1:80\n")
	set, err := conf.Load(file)
	assert.NilError(t, err)
	write("[process]\nzone = b\n[platform]\naddress = x\n")
	set, err = set.Reload()
	assert.NilError(t, err)
	assert.ErrorContains(t, set.Unusable(), "s.ini:4: address is")
	assert.Equal(t, set.Platform().String(), "10.0.0.1:80")
	assert.Equal(t, set.Place().Zone(), "b")
	write("[process]\nzoen = c\n")
	_, err = set.Reload()
	assert.ErrorContains(t, err, "unknown setting")
}
