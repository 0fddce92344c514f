package fleetapp_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	loggedEvent     = regexp.MustCompile(`Msg\("([a-z_]+)"\)`)
	documentedEvent = regexp.MustCompile("`([a-z_]+)`")
)

// TestEveryLogEventIsDocumented: the table of log events in OPERATIONS.md lists
// exactly the events that an instance on the platform can log.
func TestEveryLogEventIsDocumented(t *testing.T) {
	logged := map[string]bool{}
	for _, pattern := range []string{"../edge/*.go", "../placer/*.go", "../relay/*.go", "../clientguard/*.go", "*.go"} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		for _, file := range files {
			source, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, match := range loggedEvent.FindAllStringSubmatch(string(source), -1) {
				logged[match[1]] = true
			}
		}
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), "### Log events of an instance on the platform")
	require.True(t, found)
	section, _, _ = strings.Cut(section, "###")
	documented := map[string]bool{}
	for line := range strings.Lines(section) {
		columns := strings.Split(line, "|")
		if len(columns) < 4 {
			continue
		}
		for _, match := range documentedEvent.FindAllStringSubmatch(columns[1], -1) {
			documented[match[1]] = true
		}
	}
	assert.Equal(t, documented, logged)
}
