package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
)

// TestBudgetsOfAllInstances checks that, whenever failures occur, all instances together
// retry no more in any window than the extra retries and the ratio of their requests
// allow, and that each instance can retry.
func TestBudgetsOfAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			window = 10 * time.Second
			ratio  = 0.2
		)
		instances := rapid.IntRange(1, 90).Draw(t, "instances")
		extra := float64(rapid.IntRange(0, 300).Draw(t, "extra"))
		requests := rapid.IntRange(50, 400).Draw(t, "requests of each")
		e := &Edge{cfg: Config{RetryRatio: ratio, RetryExtra: extra, RetryWindow: window}, budgetInstances: instances}
		repeats := 0
		for range instances {
			b := retry.NewBudget(e.budgetConfig())
			first := 0
			for n := range requests {
				now := window * time.Duration(n) / time.Duration(requests)
				b.RecordFirstAttempt(now)
				for b.Withdraw(now) {
					first++
				}
			}
			assert.Positive(t, first)
			repeats += first
		}
		allowed := extra + ratio*float64(requests*instances)
		assert.LessOrEqual(t, float64(repeats), allowed+1, "instances %d", instances)
	})
}

// A change of the number of instances must not refill a budget.
func TestBudgetsStayWhenInstancesChange(t *testing.T) {
	views := NewViews()
	e := &Edge{
		cfg: Config{RetryRatio: 0.2, RetryExtra: 40, RetryWindow: 10 * time.Second, Instances: 4}, views: views,
		started: time.Now(), budgets: map[string]*retry.Budget{},
	}
	countRetries := func() (n int) {
		for e.budget("s").Withdraw(0) {
			n++
		}
		return n
	}
	assert.Equal(t, 8, countRetries())
	views.SetInstances(1)
	assert.Zero(t, countRetries())
}

// TestRetriesOfInstancesThatRestartTogether: after all 295 instances had been killed, each took a
// sixteenth of the extra retries until it knew their number. In 10 s there were 3,064 retries
// for 11,544 requests, with 2,939 allowed.
func TestRetriesOfInstancesThatRestartTogether(t *testing.T) {
	const (
		instances = 295
		requests  = 11_544
		extra     = 630
		ratio     = 0.2
		window    = 10 * time.Second
	)
	// The number becomes known in the third second.
	const knownAfter = requests / instances / 4
	retries := 0
	for range instances {
		views := NewViews()
		e := &Edge{cfg: Config{RetryRatio: ratio, RetryExtra: extra, RetryWindow: window}, views: views, started: time.Now(), budgets: map[string]*retry.Budget{}}
		for n := range requests / instances {
			if n == knownAfter {
				views.SetInstances(instances)
			}
			now := window * time.Duration(n) / (requests / instances)
			e.budget("s").RecordFirstAttempt(now)
			for e.budget("s").Withdraw(now) {
				retries++
			}
		}
	}
	assert.LessOrEqual(t, float64(retries), extra+ratio*requests)
}
