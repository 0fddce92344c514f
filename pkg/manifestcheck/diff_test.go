package manifestcheck_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/account"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/manifestcheck"
)

func route(name, host string) manifestcheck.Entry {
	return manifestcheck.Entry{Kind: "route", Name: name, Values: []manifestcheck.Value{{Name: "host", Value: host}}}
}

// TestDiffTellsEqualNamesApart guards against a removed entry that goes unnoticed because another has
// its name, and against differences that are only a matter of order.
func TestDiffTellsEqualNamesApart(t *testing.T) {
	two := []manifestcheck.Entry{route("a", "h"), route("a", "i"), route("b", "h")}
	assert.Empty(t, manifestcheck.Diff(two, []manifestcheck.Entry{two[2], two[0], two[1]}))
	assert.Equal(t, []manifestcheck.Change{{Action: manifestcheck.Removed, Kind: "route", Name: "a"}}, manifestcheck.Diff(two, []manifestcheck.Entry{two[0], two[2]}))
}

// TestDiffCountsKeys guards against counting a key that is listed twice, or that has only moved.
func TestDiffCountsKeys(t *testing.T) {
	with := func(keys ...string) []manifestcheck.Entry {
		e := manifestcheck.Entry{Kind: "account", Name: "a"}
		for _, key := range keys {
			e.Keys = append(e.Keys, account.DigestOf(key))
		}
		return []manifestcheck.Entry{e}
	}
	assert.Empty(t, manifestcheck.Diff(with("k", "l"), with("l", "k", "k")))
	assert.Equal(t, []manifestcheck.Change{{Action: manifestcheck.Changed, Kind: "account", Name: "a", KeysAdded: 2, KeysRemoved: 1}},
		manifestcheck.Diff(with("k", "l"), with("l", "m", "m", "n")))
}
