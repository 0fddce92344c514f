package manifestcheck

import "github.com/cyclamenhoist/cyclamenhoist/pkg/account"

// holder is where a key was seen first.
type holder struct{ account, key int }

// accounts reports what account.NewDirectory rejects as errors, and quotas and keys without effect
// as warnings. Keys are named by their account and index only.
func (c *checker) accounts() {
	accounts := c.document.Accounts
	if c.document.NullAccounts {
		c.warn(CodeNoAccounts, Path{{FieldAccounts, -1}}, "null counts as left out: no request needs a key")
	}
	if accounts != nil && len(accounts) == 0 && !c.document.Incomplete {
		c.warn(CodeNoAccounts, Path{{FieldAccounts, -1}}, "an empty list: requests on routes that aren't public are refused; leave it out if none needs a key")
	}
	names := map[string]int{}
	holders := map[account.Digest]holder{}
	for i := range accounts {
		a := &accounts[i]
		at := element(FieldAccounts, i)
		other, repeated := names[a.Name]
		switch {
		case a.Name == "":
			c.fail(CodeUnnamed, at.to(FieldName), "no name")
		case repeated:
			c.fail(CodeRepeatedName, at.to(FieldName), "accounts %d and %d are named %s", other, i, quote(a.Name))
		default:
			names[a.Name] = i
		}
		c.keys(at, i, holders)
		c.quota(at, a)
		if a.HasPriority {
			c.priority(at, a.Priority)
		}
	}
}

func (c *checker) keys(at Path, i int, holders map[account.Digest]holder) {
	accounts := c.document.Accounts
	name := quote(accounts[i].Name)
	if len(accounts[i].Keys) == 0 {
		c.warn(CodeNoKeys, at.to(FieldKeys), "no request can belong to the account %s: it has no keys", name)
	}
	headerLimit := c.document.Limits.MaxHeaderBytes
	for k, key := range accounts[i].Keys {
		path := at.toElement(FieldKeys, k)
		other, seen := holders[key.Digest]
		switch {
		case key.Length == 0:
			c.fail(CodeEmptyKey, path, "key %d of account %s is empty", k, name)
			continue
		case seen && other.account == i:
			c.warn(CodeRepeatedKey, path, "keys %d and %d of account %s are equal", other.key, k, name)
		case seen:
			c.fail(CodeSharedKey, path, "key %d of account %s is key %d of account %s too", k, name, other.key, quote(accounts[other.account].Name))
		default:
			holders[key.Digest] = holder{i, k}
		}
		switch {
		case !key.Sendable:
			c.warn(CodeUnusableKey, path, "no client can send key %d of account %s in a header: it has a space at an end or a control character", k, name)
		case headerLimit > 0 && int64(key.Length) >= headerLimit:
			c.warn(CodeUnusableKey, path, "key %d of account %s has %d bytes, the header of a request at most %d", k, name, key.Length, headerLimit)
		}
	}
}

func (c *checker) quota(at Path, a *Account) {
	if a.Quota.Rate < 0 {
		c.fail(CodeNegative, at.to(FieldRate), "the rate of account %s is negative", quote(a.Name))
	}
	if a.Quota.Burst < 0 {
		c.fail(CodeNegative, at.to(FieldBurst), "the burst of account %s is negative", quote(a.Name))
	}
	if a.Quota.Rate == 0 && a.Quota.Burst > 0 {
		c.warn(CodeBurst, at.to(FieldBurst), "the burst of account %s has no effect: without a rate there is no limit", quote(a.Name))
	}
	switch {
	case a.DefaultCost < 0:
		c.warn(CodeNegative, at.to(FieldDefaultCost), "negative: requests of account %s that don't state their tokens cost nothing", quote(a.Name))
	case a.DefaultCost == 0 && a.CountsTokens && a.Quota.Limited():
		c.warn(CodeDefaultCost, at.to(FieldDefaultCost), "requests of account %s that don't state their tokens cost nothing of its quota", quote(a.Name))
	}
}
