package manifestcheck

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// maxQuoted is the number of bytes of a name that a message shows. Names have no limit of their own.
const maxQuoted = 100

func quote(s string) string {
	if len(s) > maxQuoted {
		return strconv.Quote(s[:maxQuoted]) + "..."
	}
	return strconv.Quote(s)
}

// maxPriority is the lowest rank that servers know; 0 is the highest.
const maxPriority = 9

type checker struct {
	document *Document
	add      func(Finding)
}

// Check passes every finding about a document to add, in the order of the document's parts: routes,
// services, limits, accounts.
func Check(d *Document, add func(Finding)) {
	c := checker{document: d, add: add}
	c.routes()
	c.services()
	c.limits()
	c.accounts()
}

func (c *checker) warn(code Code, path Path, format string, args ...any) {
	c.add(Finding{Severity: Warning, Code: code, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) fail(code Code, path Path, format string, args ...any) {
	c.add(Finding{Severity: Error, Code: code, Path: path, Message: fmt.Sprintf(format, args...)})
}

func element(list Field, index int) Path { return Path{{list, index}} }

// to returns the path of a field below p.
func (p Path) to(field Field) Path { return p.toElement(field, -1) }

func (p Path) toElement(list Field, index int) Path {
	return append(p[:len(p):len(p)], Step{list, index})
}

func (c *checker) routes() {
	type match struct{ host, prefix string }
	first := map[match]int{}
	names := map[string]int{}
	services := map[string]bool{}
	for _, s := range c.document.Services {
		services[s.Name] = true
	}
	for i := range c.document.Routes {
		r := &c.document.Routes[i]
		at := element(FieldRoutes, i)
		c.name(at, r.Name, names, i, "routes", "the log can't tell them apart")
		c.host(at, r.Host)
		c.prefix(at, r.PathPrefix)
		if r.Host != "" {
			key := match{r.Host, r.PathPrefix}
			if other, repeated := first[key]; repeated {
				c.warn(CodeSameRoute, at.to(FieldPathPrefix), "never matches: route %d, %s, has the same host and prefix", other, quote(c.document.Routes[other].Name))
			} else {
				first[key] = i
			}
		}
		c.shares(at, r, services)
		c.routeLimits(at, r)
	}
}

// name warns if an entry has no name, or that of an earlier one in names.
func (c *checker) name(at Path, name string, names map[string]int, i int, entries, consequence string) {
	other, repeated := names[name]
	switch {
	case name == "":
		c.warn(CodeUnnamed, at.to(FieldName), "no name")
	case repeated:
		c.warn(CodeRepeatedName, at.to(FieldName), "%s %d and %d are named %s; %s", entries, other, i, quote(name), consequence)
	default:
		names[name] = i
	}
}

func (c *checker) host(at Path, host string) {
	_, _, portErr := net.SplitHostPort(host)
	switch {
	case host == "":
		c.warn(CodeNeverMatches, at.to(FieldHost), "never matches: no host")
	case portErr == nil:
		c.warn(CodeNeverMatches, at.to(FieldHost), "never matches: hosts of requests are compared without their port, but %s has one", quote(host))
	case host != strings.ToLower(host):
		c.warn(CodeNeverMatches, at.to(FieldHost), "matches no request that has the host in lower case: %s", quote(host))
	}
}

func (c *checker) prefix(at Path, prefix string) {
	at = at.to(FieldPathPrefix)
	switch {
	case prefix == "":
		c.warn(CodePrefixSlash, at, "empty: matches every path; write \"/\"")
	case !strings.HasPrefix(prefix, "/"):
		c.warn(CodeNeverMatches, at, "never matches: %s doesn't begin with a slash", quote(prefix))
	case strings.Contains(prefix, "?"):
		c.warn(CodeNeverMatches, at, "never matches: paths end before the question mark that %s has", quote(prefix))
	case !strings.HasSuffix(prefix, "/"):
		c.warn(CodePrefixSlash, at, "%s doesn't end with a slash: it matches longer names of the last segment too", quote(prefix))
	}
}

func (c *checker) shares(at Path, r *Route, services map[string]bool) {
	if len(r.Shares) == 0 {
		if !services[r.Service] && !c.document.Incomplete {
			c.warn(CodeUnknownService, at.to(FieldService), "the manifest has no service %s", quote(r.Service))
		}
		return
	}
	zero := true
	named := map[string]int{}
	for k, share := range r.Shares {
		zero = zero && share.Weight == 0
		part := at.toElement(FieldShares, k)
		if !services[share.Service] && !c.document.Incomplete {
			c.warn(CodeUnknownService, part.to(FieldService), "the manifest has no service %s", quote(share.Service))
		}
		if other, repeated := named[share.Service]; repeated {
			c.warn(CodeRepeatedShare, part.to(FieldService), "%s has share %d too", quote(share.Service), other)
		} else {
			named[share.Service] = k
		}
	}
	if _, split := named[r.Service]; r.Service != "" && !split {
		c.warn(CodeIgnoredService, at.to(FieldService), "%s gets no requests, since the traffic split doesn't name it", quote(r.Service))
	}
	if zero {
		c.warn(CodeZeroShare, at.to(FieldShares), "every share is 0: all requests go to the last service, %s", quote(r.Shares[len(r.Shares)-1].Service))
		return
	}
	for k, share := range r.Shares {
		weight := at.toElement(FieldShares, k).to(FieldShareWeight)
		switch {
		case share.Weight < 0:
			c.warn(CodeNegative, weight, "the share of %s is negative", quote(share.Service))
		case share.Weight == 0:
			c.warn(CodeZeroShare, weight, "%s gets no requests: its share is 0", quote(share.Service))
		}
	}
}

func (c *checker) routeLimits(at Path, r *Route) {
	if r.Kind == 0 {
		c.fail(CodeUnknownKind, at.to(FieldKind), "unknown kind %s", quote(r.WrittenKind))
	}
	if c.duration(at.to(FieldTimeout), r.Timeout) == 0 {
		c.warn(CodeZero, at.to(FieldTimeout), "no timeout: that of the client applies, or a default")
	}
	if c.duration(at.to(FieldTargetLatency), r.TargetLatency) == 0 {
		c.warn(CodeZero, at.to(FieldTargetLatency), "no latency objective")
	}
	c.duration(at.to(FieldGapTarget), r.GapTarget)
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		c.warn(CodeTimeout, at.to(FieldTimeout), "the timeout, %v, is under the latency objective, %v", r.Timeout, r.TargetLatency)
	}
	if r.Timeout > 0 && r.GapTarget > r.Timeout {
		c.warn(CodeGapTarget, at.to(FieldGapTarget), "the gap target, %v, is above the timeout, %v", r.GapTarget, r.Timeout)
	}
	switch {
	case r.MaxAttempts < 0:
		c.warn(CodeNegative, at.to(FieldMaxAttempts), "negative: instances use 1")
	case r.MaxAttempts > 1 && r.Kind == fleet.KindUnsafe:
		c.warn(CodeAttempts, at.to(FieldMaxAttempts), "%d attempts, but unsafe requests aren't repeated", r.MaxAttempts)
	case r.MaxAttempts > 1 && r.Kind == fleet.KindStream && !r.CanResume:
		c.warn(CodeAttempts, at.to(FieldMaxAttempts), "%d attempts, but the route's streams can't be resumed", r.MaxAttempts)
	}
	c.priority(at, r.Priority)
}

func (c *checker) priority(at Path, priority int) {
	if priority < 0 || priority > maxPriority {
		c.warn(CodePriority, at.to(FieldPriority), "%d isn't between 0 and %d", priority, maxPriority)
	}
}

// duration warns if a duration is negative or longer than what instances use. It returns the
// duration.
func (c *checker) duration(at Path, d time.Duration) time.Duration {
	switch {
	case d < 0:
		c.warn(CodeNegative, at, "negative: instances use 0")
	case d > c.document.MaxDuration:
		c.warn(CodeTooLong, at, "too long: instances use %v", c.document.MaxDuration)
	}
	return d
}

func (c *checker) services() {
	used := map[string]bool{}
	for i := range c.document.Routes {
		r := &c.document.Routes[i]
		if len(r.Shares) == 0 {
			used[r.Service] = true
		}
		for _, share := range r.Shares {
			used[share.Service] = true
		}
	}
	names := map[string]int{}
	for i, s := range c.document.Services {
		at := element(FieldServices, i)
		c.name(at, s.Name, names, i, "services", "instances use the last one")
		if s.Name != "" && !used[s.Name] && !c.document.Incomplete {
			c.warn(CodeUnusedService, at.to(FieldName), "no route names the service %s", quote(s.Name))
		}
		if s.Engine != nil {
			c.engine(at.to(FieldEngine), s)
		}
	}
}

func (c *checker) engine(at Path, s Service) {
	if s.Engine.Slots <= 0 {
		c.notPositive(at.to(FieldSlots), float64(s.Engine.Slots), "the slots of its servers aren't known")
	}
	if s.Engine.WeightsMB <= 0 {
		c.notPositive(at.to(FieldWeights), s.Engine.WeightsMB, "no server of it can hold a model")
	}
	if s.Engine.LoadsPerSecond <= 0 && len(s.Models) > 0 {
		c.notPositive(at.to(FieldLoadsPerSecond), s.Engine.LoadsPerSecond, "loads from the weight store start one at a time, seconds apart")
	}
	if s.Engine.AdapterSlots < 0 {
		c.warn(CodeNegative, at.to(FieldAdapterSlots), "negative")
	}
	names := map[string]int{}
	for i, m := range s.Models {
		model := at.toElement(FieldModels, i)
		c.name(model, m.Name, names, i, "models", "instances use the last one")
		c.model(model, s.Engine, m)
	}
}

func (c *checker) model(at Path, engine *fleet.Engine, m fleet.Model) {
	switch {
	case m.WeightsMB <= 0:
		c.notPositive(at.to(FieldWeights), m.WeightsMB, "the memory that the model takes isn't known")
	case engine.WeightsMB > 0 && m.WeightsMB > engine.WeightsMB:
		c.warn(CodeModelTooLarge, at.to(FieldWeights), "no server can hold the model %s: it takes %g MB of %g MB", quote(m.Name), m.WeightsMB, engine.WeightsMB)
	case engine.WeightsMB > 0 && m.Adapters > 0 && m.WeightsMB+m.AdapterMB > engine.WeightsMB:
		c.warn(CodeAdapterTooLarge, at.to(FieldAdapterWeights), "no server can hold the model %s with an adapter: they take %g MB of %g MB",
			quote(m.Name), m.WeightsMB+m.AdapterMB, engine.WeightsMB)
	}
	if m.AdapterMB < 0 {
		c.warn(CodeNegative, at.to(FieldAdapterWeights), "negative")
	}
	switch {
	case m.Adapters < 0:
		c.warn(CodeNegative, at.to(FieldAdapters), "negative")
	case m.Adapters > 0 && engine.AdapterSlots == 0:
		c.warn(CodeAdapterSlots, at.to(FieldAdapters), "the model %s has %d adapters, but servers have no slots for adapters", quote(m.Name), m.Adapters)
	}
	c.duration(at.to(FieldStoreLoad), m.StoreLoad)
	c.duration(at.to(FieldDiskLoad), m.DiskLoad)
	c.duration(at.to(FieldHostLoad), m.HostLoad)
}

// notPositive warns about a number that is 0 or negative.
func (c *checker) notPositive(at Path, n float64, consequence string) {
	if n < 0 {
		c.warn(CodeNegative, at, "negative: %s", consequence)
		return
	}
	c.warn(CodeZero, at, "0 or not stated: %s", consequence)
}

func (c *checker) limits() {
	l := &c.document.Limits
	for _, limit := range []struct {
		field  Field
		value  float64
		stated bool
	}{
		{FieldMaxHeaderBytes, float64(l.MaxHeaderBytes), l.StatesMaxHeaderBytes},
		{FieldMaxBodyBytes, float64(l.MaxBodyBytes), l.StatesMaxBodyBytes},
		{FieldHeaderTimeout, float64(l.HeaderTimeout), l.StatesHeaderTimeout},
		{FieldIdleTimeout, float64(l.IdleTimeout), l.StatesIdleTimeout},
	} {
		at := Path{{FieldLimits, -1}, {limit.field, -1}}
		switch {
		case limit.value < 0:
			c.warn(CodeNegative, at, "negative: instances use their default")
		case limit.value == 0 && limit.stated:
			c.warn(CodeZero, at, "0 counts as not stated: instances use their default")
		}
	}
	for _, d := range []struct {
		field Field
		value time.Duration
	}{{FieldHeaderTimeout, l.HeaderTimeout}, {FieldIdleTimeout, l.IdleTimeout}} {
		if d.value > 0 {
			c.duration(Path{{FieldLimits, -1}, {d.field, -1}}, d.value)
		}
	}
}
