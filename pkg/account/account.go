// Package account identifies client accounts by their API keys.
//
// A Directory belongs to one version of the published configuration and is immutable. It holds
// digests of the keys, never the keys, so that a dump of the process doesn't reveal them, and so
// that the time of a look-up doesn't depend on how much of a guessed key is right.
package account

import (
	"crypto/sha256"
	"unsafe"

	"github.com/go-faster/errors"
)

// ErrAccounts means that the accounts of a configuration contradict each other.
var ErrAccounts = errors.New("accounts unusable")

// Account is one client account.
type Account struct {
	Name string
	// Priority is the rank of the account's requests, where 0 is the highest. It replaces the rank
	// of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	// CountsTokens means that Quota counts tokens, and DefaultCost is the number of tokens of a
	// request that doesn't state its own. Otherwise each request counts as 1.
	CountsTokens bool
	DefaultCost  int64
	Quota        Quota
}

// Quota limits what an account can use at all instances together. A Rate of 0 means no limit.
type Quota struct {
	// Rate is per second, Burst is what can be used at once in addition.
	Rate, Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// maxCost is the highest cost of one request.
const maxCost = 1 << 40

// Cost returns what a request costs that states the given numbers of tokens in its prompt and its
// answer, or none.
func (a *Account) Cost(promptTokens, outputTokens int, stated bool) int64 {
	switch {
	case !a.CountsTokens:
		return 1
	case !stated:
		return min(max(a.DefaultCost, 0), maxCost)
	default:
		return min(int64(max(promptTokens, 0)), maxCost/2) + min(int64(max(outputTokens, 0)), maxCost/2)
	}
}

// Digest identifies a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	// The bytes are only read. A conversion would allocate for each request.
	return sha256.Sum256(unsafe.Slice(unsafe.StringData(key), len(key)))
}

// Keys are the API keys of one account.
type Keys struct {
	Account Account
	Keys    []string
}

// Directory finds accounts by their keys.
type Directory struct {
	byKey  map[Digest]*Account
	byName map[string]*Account
}

// NewDirectory builds a Directory. It fails with ErrAccounts if two accounts have one name or one
// key, if a name or key is empty, or if a quota is negative.
func NewDirectory(accounts []Keys) (*Directory, error) {
	d := &Directory{byKey: make(map[Digest]*Account, 2*len(accounts)), byName: make(map[string]*Account, len(accounts))}
	for i := range accounts {
		a := accounts[i].Account
		switch {
		case a.Name == "":
			return nil, errors.Wrapf(ErrAccounts, "account %d has no name", i)
		case d.byName[a.Name] != nil:
			return nil, errors.Wrapf(ErrAccounts, "two accounts are named %q", a.Name)
		case !(a.Quota.Rate >= 0) || !(a.Quota.Burst >= 0):
			return nil, errors.Wrapf(ErrAccounts, "account %q has a negative quota", a.Name)
		}
		d.byName[a.Name] = &a
		for k, key := range accounts[i].Keys {
			digest := DigestOf(key)
			switch other := d.byKey[digest]; {
			case key == "":
				return nil, errors.Wrapf(ErrAccounts, "key %d of account %q is empty", k, a.Name)
			case other != nil && other.Name != a.Name:
				return nil, errors.Wrapf(ErrAccounts, "accounts %q and %q have a key in common", other.Name, a.Name)
			}
			d.byKey[digest] = &a
		}
	}
	return d, nil
}

// ByKey returns the account that holds a key, or nil. It doesn't allocate.
func (d *Directory) ByKey(key string) *Account { return d.byKey[DigestOf(key)] }

// ByName returns the account with a name, or nil.
func (d *Directory) ByName(name string) *Account { return d.byName[name] }

// Priorities returns the priorities that accounts have of their own, without duplicates and in no
// order.
func (d *Directory) Priorities() []int {
	seen := map[int]bool{}
	var priorities []int
	for _, a := range d.byName {
		if a.HasPriority && !seen[a.Priority] {
			seen[a.Priority] = true
			priorities = append(priorities, a.Priority)
		}
	}
	return priorities
}

// Len returns the number of accounts.
func (d *Directory) Len() int { return len(d.byName) }
