package conf_test

import (
	"strings"
	"testing"

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
