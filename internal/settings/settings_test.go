package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/settings"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const platform = `"platform": {"log_url": "http://127.0.0.1:1", "store_url": "http://127.0.0.1:2", "live_url": "http://127.0.0.1:3"}`

func TestParseListsEveryFault(t *testing.T) {
	for name, tc := range map[string]struct {
		text  string
		paths []string
	}{
		"example":  {text: settings.Example()},
		"smallest": {text: `{"instance": {"zone": "a"}, ` + platform + `}`},
		"nothing set": {text: `{}`, paths: []string{
			"instance.zone", "platform.log_url", "platform.store_url", "platform.live_url"}},
		"five faults": {
			text: `{"instance": {"zone": "a"}, ` + platform + `,
				"callers": {"address": "nowhere", "max_body_bytes": 5, "colour": "red"},
				"shutdown": {"limit": "soon"},
				"deciding": {"heartbeat": "2s"}}`,
			paths: []string{"callers.address", "callers.colour", "callers.max_body_bytes",
				"shutdown.limit", "deciding.holder_timeout"},
		},
		"mutual without files": {
			text:  `{"instance": {"zone": "a"}, ` + platform + `, "tls": {"mode": "mutual"}}`,
			paths: []string{"tls.ca", "tls.certificate", "tls.key"},
		},
		"two listeners on one address": {
			text:  `{"instance": {"zone": "a"}, ` + platform + `, "operators": {"address": "127.0.0.1:8080"}}`,
			paths: []string{"operators.address"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			parsed, err := settings.Parse([]byte(tc.text))
			if tc.paths == nil {
				require.NoError(t, err)
				require.Contains(t, []port.Zone{"a", "zone-a"}, parsed.Instance.Zone)
				return
			}
			var faults jsonc.Faults
			require.ErrorAs(t, err, &faults)
			var paths []string
			for _, f := range faults {
				paths = append(paths, f.Path)
			}
			require.ElementsMatch(t, tc.paths, paths, "%v", faults)
		})
	}
}

func TestLoadOfMissingFile(t *testing.T) {
	_, err := settings.Load(t.TempDir() + "/none.jsonc")
	require.ErrorIs(t, err, settings.ErrUnreadable)
}
