package account_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/account"
)

func named(name string, keys ...string) account.Keys {
	return account.Keys{Account: account.Account{Name: name}, Keys: keys}
}

func TestKeysOfOtherAccountsAreNotAccepted(t *testing.T) {
	long := strings.Repeat("k", 10<<10)
	d, err := account.NewDirectory([]account.Keys{named("a", "key-1", "key-2"), named("b", long), named("no keys")})
	require.NoError(t, err)
	for key, want := range map[string]string{"key-1": "a", "key-2": "a", long: "b", "key-3": "", "": "", "KEY-1": "", "key-1 ": "", long + "k": ""} {
		got := ""
		if a := d.ByKey(key); a != nil {
			got = a.Name
		}
		assert.Equal(t, want, got, "key of %d bytes", len(key))
	}
	assert.Equal(t, 3, d.Len())
	assert.Equal(t, "no keys", d.ByName("no keys").Name)
}

// A configuration that contradicts itself must not replace the one in force.
func TestContradictingAccountsAreRejected(t *testing.T) {
	negative := named("a", "k")
	negative.Account.Quota.Rate = -1
	notANumber := named("a", "k")
	notANumber.Account.Quota.Burst = math.NaN()
	for name, accounts := range map[string][]account.Keys{
		"one name twice": {named("a", "k"), named("a", "l")}, "one key at two": {named("a", "k"), named("b", "k")},
		"empty key": {named("a", "")}, "no name": {named("", "k")}, "negative rate": {negative}, "burst is no number": {notANumber},
	} {
		_, err := account.NewDirectory(accounts)
		require.ErrorIs(t, err, account.ErrAccounts, name)
		assert.NotContains(t, err.Error(), `"k"`, "%s: the error must not reveal a key", name)
	}
	_, err := account.NewDirectory([]account.Keys{named("a", "k", "k")})
	assert.NoError(t, err, "a key twice at one account is harmless")
}

func TestCost(t *testing.T) {
	tokens := account.Account{CountsTokens: true, DefaultCost: 200}
	requests := account.Account{DefaultCost: 200}
	for _, c := range []struct {
		a       account.Account
		in, out int
		stated  bool
		want    int64
	}{
		{tokens, 1460, 80, true, 1540},
		{tokens, 0, 0, false, 200},
		{tokens, -5, 80, true, 80},
		{tokens, math.MaxInt, math.MaxInt, true, 1 << 40},
		{requests, 1460, 80, true, 1},
	} {
		assert.Equal(t, c.want, c.a.Cost(c.in, c.out, c.stated), "%+v", c)
	}
}

func manyAccounts(t testing.TB, n int) *account.Directory {
	accounts := make([]account.Keys, n)
	for i := range accounts {
		accounts[i] = named(fmt.Sprint("account-", i), fmt.Sprintf("%020d", i))
	}
	d, err := account.NewDirectory(accounts)
	require.NoError(t, err)
	return d
}

func TestLookupDoesNotAllocate(t *testing.T) {
	d := manyAccounts(t, 100)
	key := fmt.Sprintf("%020d", 7)
	assert.Zero(t, testing.AllocsPerRun(100, func() { _ = d.ByKey(key) }))
}

func BenchmarkByKey(b *testing.B) {
	d := manyAccounts(b, 10_000)
	key := fmt.Sprintf("%020d", 4711)
	b.ReportAllocs()
	for b.Loop() {
		_ = d.ByKey(key)
	}
}
