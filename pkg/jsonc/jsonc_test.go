package jsonc_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
)

type inner struct {
	Wait jsonc.Duration `json:"wait" validate:"gt=0,max=1m"`
	Size int            `json:"size" validate:"min=1,max=10"`
}

type document struct {
	Name  string  `json:"name" validate:"required"`
	Items []inner `json:"items" validate:"dive"`
	On    bool    `json:"on"`
}

func TestDecodeListsEveryFault(t *testing.T) {
	for name, tc := range map[string]struct {
		text   string
		faults []string
	}{
		"valid with comments": {text: `{"name": "a", /* why */ "items": [{"wait": "2s", "size": 3},],}`},
		"empty":               {text: "  ", faults: []string{"empty document"}},
		"null":                {text: "null", faults: []string{"must not be null", "name: is required"}},
		"no object":           {text: `[1]`, faults: []string{"must be an object, is [1]"}},
		"one of each": {
			text: `{"nam": "a", "items": [{"wait": "soon", "size": 3}, {"wait": "2m", "size": 11}], "on": "yes", "on": true}`,
			faults: []string{
				`items[0].wait: must be a duration such as "1m30s", is "soon"`,
				"items[1].size: must be at most 10, is 11",
				"items[1].wait: must be at most 1m, is 2m0s",
				"name: is required",
				"nam: unknown key; known here: items, name, on",
				`on: must be true or false, is "yes"`,
				"on: key given more than once",
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var doc document
			err := jsonc.Decode([]byte(tc.text), &doc)
			if tc.faults == nil {
				require.NoError(t, err)
				require.Equal(t, 2*time.Second, doc.Items[0].Wait.D())
				return
			}
			var faults jsonc.Faults
			require.ErrorAs(t, err, &faults)
			var got []string
			for _, f := range faults {
				got = append(got, f.String())
			}
			require.Subset(t, got, tc.faults, "%v", got)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "items": [{"wait": "2s", "size": 3}]}`))
	f.Add([]byte(`{"name": null, "name": 3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var doc document
		if jsonc.Decode(data, &doc) == nil {
			require.NotEmpty(t, doc.Name)
			for _, item := range doc.Items {
				require.LessOrEqual(t, item.Size, 10)
				require.Positive(t, item.Wait)
			}
		}
	})
}
