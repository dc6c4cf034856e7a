package main

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExitCodesOfExplainFlow(t *testing.T) {
	for name, tc := range map[string]struct {
		args []string
		want int
	}{
		"no address":    {nil, exitUsage},
		"bad address":   {[]string{"198.18.0.1"}, exitUsage},
		"bad client":    {[]string{"198.18.0.1:443", "--client", "me"}, exitUsage},
		"bad URL":       {[]string{"198.18.0.1:443", "--process", "10.0.0.1:9464"}, exitUsage},
		"no process":    {[]string{"198.18.0.1:443", "--process", "http://127.0.0.1:1"}, exitFailure},
		"two arguments": {[]string{"198.18.0.1:443", "feed"}, exitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			err := newCommands("test").run(context.Background(), append([]string{"explain-flow"}, tc.args...))
			assert.Assert(t, err != nil)
			assert.Equal(t, exitCode(err), tc.want)
		})
	}
}
