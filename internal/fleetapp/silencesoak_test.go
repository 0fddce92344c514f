package fleetapp_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	// silenceSoakSeeds is the number of seeds of TestStoppingInstancesEndWhatTheyAccepted, unless
	// silenceSoakVariable sets it, or the first and the last seed as "7-9".
	silenceSoakSeeds    = 4
	silenceSoakVariable = "CYCLAMENHOIST_SOAK_SEEDS"
	// soakFaultsShown is the number of faults of one class that are told in full for each seed.
	soakFaultsShown = 3
	// soakStartTime is the time within which the first processes must be ready.
	soakStartTime = time.Minute
)

// TestStoppingInstancesEndWhatTheyAccepted runs processes that are stopped while servers fall silent for
// about a second and go on, and others refuse. Instances gave up silent runs for repeats that nobody took,
// so that accepted requests ended without an answer.
func TestStoppingInstancesEndWhatTheyAccepted(t *testing.T) {
	if testing.Short() {
		t.Skip("runs instances for about a minute")
	}
	first, last := soakSeedRange(t)
	binary := buildBinary(t)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playSilenceSoak(t, binary, uint64(seed)) })
	}
}

// soakSeedRange returns the first and the last seed.
func soakSeedRange(t *testing.T) (first, last int) {
	value := os.Getenv(silenceSoakVariable)
	if value == "" {
		return 1, silenceSoakSeeds
	}
	from, to, isRange := strings.Cut(value, "-")
	if !isRange {
		from, to = "1", value
	}
	first, err := strconv.Atoi(from)
	require.NoError(t, err, silenceSoakVariable)
	last, err = strconv.Atoi(to)
	require.NoError(t, err, silenceSoakVariable)
	return first, last
}

func playSilenceSoak(t *testing.T, binary string, seed uint64) {
	plan := newSoakPlan(seed)
	store := standin.NewStore()
	t.Cleanup(store.Close)
	servers := startSoakServers(t, plan, store)
	starting, endStart := context.WithTimeout(t.Context(), soakStartTime)
	defer endStart()
	directory := t.TempDir()
	var instances []*soakInstance
	var starts sync.WaitGroup
	for n := range plan.instances {
		i := &soakInstance{name: fmt.Sprint("i", n), binary: binary, store: store.Address(), directory: directory, plan: plan}
		instances = append(instances, i)
		starts.Go(func() { i.start(starting, t) })
	}
	starts.Wait()
	if starting.Err() != nil || t.Failed() {
		t.Fatalf("seed %d: the instances aren't ready within %v", seed, soakStartTime)
	}

	servers.begin()
	sending, endSending := context.WithTimeout(t.Context(), soakDuration)
	defer endSending()
	playing, endPlay := context.WithCancel(t.Context())
	defer endPlay()
	var stops sync.WaitGroup
	stops.Go(func() { stopInTurn(playing, t, plan, instances) })
	views := runSoakClients(sending, plan, instances)
	for _, i := range instances {
		for n, p := range i.all() {
			if !p.running() && p.stoppedAt().IsZero() {
				t.Errorf("seed %d: process %d of %s has ended by itself:\n%s", seed, n, i.name, p.log)
			}
		}
	}
	endPlay()
	stops.Wait()
	judgeSoak(t, plan, views, servers, instances)
}

// runSoakClients runs the clients until ctx ends and their last requests are answered.
func runSoakClients(ctx context.Context, plan *soakPlan, instances []*soakInstance) []soakView {
	var mu sync.Mutex
	var views []soakView
	var clients sync.WaitGroup
	for n := range plan.instances * plan.clients {
		name := fmt.Sprint("s", plan.seed, "-c", n)
		c := &soakClient{
			name: name, plan: plan, random: soakRandom(plan.seed, name), instances: instances,
			home: n % plan.instances, stays: n/plan.instances%2 == 0,
		}
		clients.Go(func() {
			seen := c.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			views = append(views, seen...)
		})
	}
	clients.Wait()
	slices.SortFunc(views, func(a, b soakView) int { return a.sent.Compare(b.sent) })
	return views
}

// stopInTurn stops instances and starts them again until ctx ends: one after the other, or while others
// still stop.
func stopInTurn(ctx context.Context, t *testing.T, plan *soakPlan, instances []*soakInstance) {
	random := soakRandom(plan.seed, "stops")
	var stopping sync.WaitGroup
	defer stopping.Wait()
	busy := make([]sync.Mutex, len(instances))
	for n := random.IntN(len(instances)); ; n = (n + 1) % len(instances) {
		wait(ctx, time.Duration(300+random.IntN(1200))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		if !busy[n].TryLock() {
			continue
		}
		restart := func() {
			defer busy[n].Unlock()
			if instances[n].current().stop(ctx); ctx.Err() == nil {
				instances[n].start(ctx, t)
			}
		}
		if plan.overlapping {
			stopping.Go(restart)
		} else {
			restart()
		}
	}
}

// judgeSoak checks all answers and prints what is wrong, with the log lines of the requests.
func judgeSoak(t *testing.T, plan *soakPlan, views []soakView, servers *soakServers, instances []*soakInstance) {
	counts, byClass := map[string]int{}, map[string]int{}
	for _, v := range views {
		arrivals, stopped := servers.of(v.id), v.process.stoppedAt()
		counts[v.outcome()]++
		for _, fault := range v.judge(plan.seed, arrivals, stopped) {
			if byClass[fault.class]++; byClass[fault.class] > soakFaultsShown {
				t.Fail()
				continue
			}
			var lines strings.Builder
			for _, i := range instances {
				if i.name == v.process.instance {
					lines.WriteString(i.logOf(v.id))
				}
			}
			t.Errorf("seed %d: %s: %s\n%s\n%s", plan.seed, fault.class, fault.details, v.describe(plan.seed, arrivals, stopped), lines.String())
		}
	}
	stopped, killed := 0, 0
	for _, i := range instances {
		for _, p := range i.all() {
			if !p.stoppedAt().IsZero() {
				stopped++
			}
			if p.wasKilled() {
				killed++
			}
		}
	}
	t.Logf("seed %d: %d instances, overlapping %v, extra %d, ratio %g; %d SIGTERM, %d SIGKILL; %s; %v; faults: %s", plan.seed,
		plan.instances, plan.overlapping, plan.retryExtra, plan.retryRatio, stopped, killed, listCounts(counts),
		newSoakFigures(plan, views, servers), listCounts(byClass))
	assert.Positive(t, stopped)
	assert.Greater(t, counts["answered"], len(views)/10, "requests answered, of %d", len(views))
}

// outcome names what a client saw.
func (v *soakView) outcome() string {
	switch {
	case v.err == nil && v.status == http.StatusOK:
		return "answered"
	case v.err == nil && v.signed:
		return fmt.Sprintf("status %d", v.status)
	case v.err == nil:
		return fmt.Sprintf("status %d (%s)", v.status, strings.TrimSpace(v.body))
	case v.status == 0:
		return "closed"
	default:
		return "cut"
	}
}

func listCounts(counts map[string]int) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprint(counts[name], " ", name))
	}
	if len(out) == 0 {
		return "none"
	}
	return strings.Join(out, ", ")
}
