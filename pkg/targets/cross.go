package targets

import (
	"fmt"
	"path"
	"slices"
	"strings"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/share"
)

// reservedPaths are the paths that instances serve themselves. The path prefix of
// a service must not equal or lie below any of them.
var reservedPaths = []string{"/v1", "/livez", "/readyz"}

// crossFaults checks the constraints between fields. It skips the parts of the
// document with known faults, to avoid faults that only follow from others.
func crossFaults(doc *Document, known jsonc.Faults) jsonc.Faults {
	c := checker{doc: doc}
	if !hasFaultIn(known, "classes") {
		c.classes()
		if !hasFaultIn(known, "default_class") {
			c.classExists("default_class", doc.DefaultClass)
		}
	}
	if !hasFaultIn(known, "rules") {
		c.rules(!hasFaultIn(known, "classes"))
	}
	if !hasFaultIn(known, "services") {
		c.services()
	}
	if !hasFaultIn(known, "zones") && !hasFaultIn(known, "limits") {
		c.storeLoadShares()
	}
	if len(known) > 0 && known[0].Path == "" {
		return nil // nothing was decoded
	}
	return c.faults
}

// hasFaultIn reports whether any fault concerns the top-level field.
func hasFaultIn(faults jsonc.Faults, field string) bool {
	return slices.ContainsFunc(faults, func(f jsonc.Fault) bool {
		return f.Path == field || strings.HasPrefix(f.Path, field+"[") || strings.HasPrefix(f.Path, field+".")
	})
}

type checker struct {
	doc    *Document
	faults jsonc.Faults
}

func (c *checker) add(path, problem string, args ...any) {
	c.faults = append(c.faults, jsonc.Fault{Path: path, Problem: fmt.Sprintf(problem, args...)})
}

func (c *checker) classes() {
	for i, class := range c.doc.Classes {
		if class.StartWithin > class.MaxWait {
			c.add(fmt.Sprintf("classes[%d].start_within", i),
				"must be at most max_wait (%v), is %v", class.MaxWait.D(), class.StartWithin.D())
		}
	}
}

func (c *checker) classExists(path, name string) {
	names := make([]string, 0, len(c.doc.Classes))
	for _, class := range c.doc.Classes {
		names = append(names, class.Name)
	}
	if !slices.Contains(names, name) {
		c.add(path, "must be one of the classes %s, is %q", strings.Join(names, ", "), name)
	}
}

func (c *checker) rules(classesKnown bool) {
	for i, rule := range c.doc.Rules {
		at := fmt.Sprintf("rules[%d]", i)
		if classesKnown {
			c.classExists(at+".class", rule.Class)
		}
		if rule.conditions() == 0 {
			c.add(at, "must have a condition: model, path_prefix, caller or header")
		}
		if star := strings.IndexByte(rule.Model, '*'); star >= 0 && star != len(rule.Model)-1 {
			c.add(at+".model", "must have * at its end only, is %q", rule.Model)
		}
		if rule.PathPrefix != "" {
			c.pathPrefix(at+".path_prefix", rule.PathPrefix)
		}
		if rule.Header != "" {
			if _, _, ok := splitHeader(rule.Header); !ok {
				c.add(at+".header", `must be "Name: value", is %q`, rule.Header)
			}
		}
	}
}

func (c *checker) services() {
	seen := map[string]string{}
	for i, service := range c.doc.Services {
		at := fmt.Sprintf("services[%d].path_prefix", i)
		switch {
		case service.Kind != port.KindPlain && service.PathPrefix != "":
			c.add(at, "must be left out unless kind is plain, is %q", service.PathPrefix)
		case service.Kind == port.KindPlain && service.PathPrefix == "":
			c.add(at, "is required when kind is plain")
		case service.Kind == port.KindPlain:
			c.pathPrefix(at, service.PathPrefix)
			c.servicePath(at, service, seen)
		}
	}
}

func (c *checker) servicePath(at string, service Service, seen map[string]string) {
	prefix := trimTrailingSlash(service.PathPrefix)
	if other, used := seen[prefix]; used {
		c.add(at, "must differ from that of service %q, is %q", other, service.PathPrefix)
	}
	seen[prefix] = service.Name
	for _, reserved := range reservedPaths {
		if underPath(prefix, reserved) {
			c.add(at, "must not lie under %s, which instances answer themselves, is %q", reserved, service.PathPrefix)
		}
	}
}

func (c *checker) pathPrefix(at, prefix string) {
	clean := path.Clean(prefix)
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.add(at, `must start with "/", is %q`, prefix)
	case clean != trimTrailingSlash(prefix) || strings.ContainsAny(prefix, "%?#\\ "):
		c.add(at, `must be a plain path without "//", ".", "..", escapes or a query, is %q`, prefix)
	}
}

// storeLoadShares checks that the share of each zone in store_loads_at_once is at
// least one load. A zone without a share could never load from the weight store.
func (c *checker) storeLoadShares() {
	shares := share.Integers(c.doc.Limits.StoreLoadsAtOnce, c.doc.ZoneWeights())
	for i, n := range shares {
		if n == 0 {
			c.add("limits.store_loads_at_once", "must leave each zone a share of at least 1, is %d and leaves zone %q none",
				c.doc.Limits.StoreLoadsAtOnce, c.doc.Zones[i].Name)
			return
		}
	}
}
