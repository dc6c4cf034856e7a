package tool_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/io/stand"
	"lagoondrum/io/tool"
)

func writeFile(t *testing.T, name, body string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(file, []byte(body), 0o600))
	return file
}

func TestCheckTakesAWholeScene(t *testing.T) {
	scn := stand.NewScene(t.TempDir(), 1000)
	var files []string
	for name, body := range scn.Lists() {
		files = append(files, writeFile(t, name+".ini", body))
	}
	files = append(files, writeFile(t, "settings.ini", scn.Settings(scn.Hosts()[0])))
	var out bytes.Buffer
	assert.NilError(t, tool.Check(&out, files))
	assert.Equal(t, out.String(), "5 files are valid\n")
}

func TestCheckFindsWhatDoesNotFitTogether(t *testing.T) {
	customers := writeFile(t, "customers.ini", "[customer a]\nplan = platinum\ncertificate = a\n[end]\n")
	plans := writeFile(t, "plans.ini", stand.NewScene("", 1000).Lists()["plans"])
	err := tool.Check(&bytes.Buffer{}, []string{customers, plans})
	assert.Error(t, err, "customer a has the unknown plan platinum")
}

func TestCheckReportsFileAndLine(t *testing.T) {
	file := writeFile(t, "plans.ini", "[plan gold]\ncolour = red\n")
	err := tool.Check(&bytes.Buffer{}, []string{file})
	assert.ErrorContains(t, err, file+":2: ")
}
