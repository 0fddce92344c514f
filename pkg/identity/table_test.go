package identity

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// TestTableBounds checks that a full table refuses new identities instead of
// evicting unexpired ones, and that its byte counter matches its contents.
func TestTableBounds(t *testing.T) {
	limits := Limits{Entries: 3, BodyBytes: 10, Retention: time.Minute}
	type model struct {
		attempt string
		ends    time.Time
		result  *Result
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := NewTable(limits)
		live := map[Key]*model{}
		drawKey := func(t *rapid.T) Key { return Key{byte(rapid.IntRange(0, 5).Draw(t, "key"))} }
		attempts := 0
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				key := drawKey(t)
				attempts++
				attempt := fmt.Sprint(attempts)
				run := time.Duration(rapid.IntRange(1, 50).Draw(t, "run")) * time.Second
				got := table.Claim(now, ClaimRequest{Key: key, Attempt: attempt, RunFor: run})
				k, ok := live[key]
				switch {
				case ok && k.result != nil && k.result.Known:
					require.Equal(t, Finished, got.Verdict)
					require.Equal(t, k.result.Status, got.Result.Status)
				case ok && (k.result != nil || !now.Before(k.ends.Add(-limits.Retention))):
					require.Equal(t, Unknown, got.Verdict)
				case ok:
					require.Equal(t, Running, got.Verdict)
				case len(live) == limits.Entries:
					require.Equal(t, Full, got.Verdict)
				default:
					require.Equal(t, Run, got.Verdict)
					live[key] = &model{attempt: attempt, ends: now.Add(run + limits.Retention)}
				}
			},
			"finish": func(t *rapid.T) {
				key := drawKey(t)
				k, ok := live[key]
				if !ok {
					t.Skip("nothing to finish")
				}
				r := rapid.SampledFrom([]Result{
					{NotRun: true}, {}, {Known: true, Status: 200, Body: make([]byte, 6)},
				}).Draw(t, "result")
				table.Finish(now, key, "somebody else", r)
				table.Finish(now, key, k.attempt, r)
				switch {
				case k.result != nil && k.result.Known:
				case r.NotRun:
					delete(live, key)
				case r.Known:
					k.result, k.ends = &r, now.Add(limits.Retention)
				default:
					k.result = &r
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
				for key, k := range live {
					if !now.Before(k.ends) {
						delete(live, key)
					}
				}
				table.Expire(now)
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(live), table.Len())
				var bytes int64
				for _, e := range table.entries {
					bytes += int64(len(e.result.Body))
				}
				require.Equal(t, bytes, table.bodyBytes)
				require.LessOrEqual(t, bytes, limits.BodyBytes)
			},
		})
	})
}

// TestUnknownRunIsRetained checks that the retention of a run with an unknown
// outcome starts at the deadline of the run, until which it can be in progress.
func TestUnknownRunIsRetained(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Limits{Entries: 1, Retention: time.Minute})
	request := ClaimRequest{Key: Key{1}, Attempt: "a", RunFor: 10 * time.Minute}
	require.Equal(t, Run, table.Claim(now, request).Verdict)
	table.Finish(now, request.Key, "a", Result{})
	require.Equal(t, Unknown, table.Claim(now.Add(11*time.Minute-1), request).Verdict)
	require.Equal(t, Run, table.Claim(now.Add(11*time.Minute), request).Verdict)
}

func TestClaimAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Limits{Entries: 1, BodyBytes: 100, Retention: time.Minute})
	request := ClaimRequest{Key: Key{1}, Fingerprint: Fingerprint{1}, Attempt: "a", RunFor: time.Second}
	require.Equal(t, Run, table.Claim(now, request).Verdict)
	require.Equal(t, Run, table.Claim(now, request).Verdict, "the first answer was lost")
	other := request
	other.Fingerprint = Fingerprint{2}
	require.Equal(t, Mismatch, table.Claim(now, other).Verdict)
	other = request
	other.Attempt = "b"
	require.Equal(t, Running, table.Claim(now, other).Verdict)
	require.Equal(t, Unknown, table.Claim(now.Add(time.Second), other).Verdict, "the claimant hasn't reported")
	table.Finish(now, request.Key, "a", Result{Known: true, Status: 201, Body: []byte("x")})
	require.Equal(t, Answer{Finished, Result{Known: true, Status: 201, Body: []byte("x")}}, table.Claim(now, other))
}

// TestOwnersAgainstOracle compares Owners with a simple implementation: sort all
// members by descending score, select the first of each zone, then the rest.
func TestOwnersAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []Member
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		for i := range rapid.IntRange(0, 12).Draw(t, "members") {
			members = append(members, Member{ID: instanceID(i), Zone: zoneName(i % zones)})
		}
		key := Key{byte(rapid.IntRange(0, 255).Draw(t, "key"))}
		score := func(m Member) uint64 { return xxhash.Sum64String(string(key[:]) + string(m.ID)) }
		sorted := slices.Clone(members)
		slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(score(b), score(a)) })
		var first, rest []Member
		seen := map[port.Zone]bool{}
		for _, m := range sorted {
			if seen[m.Zone] {
				rest = append(rest, m)
			} else {
				first = append(first, m)
			}
			seen[m.Zone] = true
		}
		if len(first) < ownersPerKey {
			first = append(first, rest...)
		}
		want := append([]Member{}, first[:min(len(first), ownersPerKey)]...)
		require.Equal(t, want, Owners(key, members))
	})
}

func TestOwnersSpreadOverZones(t *testing.T) {
	var members []Member
	for i := range 12 {
		members = append(members, Member{ID: instanceID(i), Zone: zoneName(i % 4)})
	}
	first := map[string]int{}
	for i := range 1000 {
		owners := Owners(Key{byte(i), byte(i >> 8)}, members)
		require.Len(t, owners, ownersPerKey)
		zones := map[string]bool{}
		for _, o := range owners {
			zones[string(o.Zone)] = true
		}
		require.Len(t, zones, ownersPerKey)
		first[string(owners[0].ID)]++
	}
	for id, n := range first {
		require.InDelta(t, 1000/12, n, 45, id)
	}
	require.Len(t, Owners(Key{1}, members[:2]), 2)
	oneZone := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	require.Len(t, Owners(Key{1}, oneZone), ownersPerKey)
}

// The ends of attempts that hold nothing are remembered for a time, and no more of them than identities.
func TestEndedAttemptsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Limits{Entries: 3, Retention: time.Minute})
	for i := range 5 {
		table.Finish(now, Key{1}, fmt.Sprint(i), Result{NotRun: true})
		table.Finish(now, Key{1}, fmt.Sprint(i), Result{Known: true})
	}
	require.Len(t, table.ended, 3)
	require.Equal(t, Unavailable, table.Claim(now, ClaimRequest{Key: Key{1}, Attempt: "0", RunFor: time.Second}).Verdict)
	require.Zero(t, table.Len())
	now = now.Add(time.Minute)
	require.Equal(t, Run, table.Claim(now, ClaimRequest{Key: Key{1}, Attempt: "0", RunFor: time.Second}).Verdict)
	require.Empty(t, table.ended)
	require.Empty(t, table.endedQueue)
}
