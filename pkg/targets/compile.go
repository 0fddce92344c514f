package targets

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/share"
)

// Request holds the attributes of a request that determine its class.
type Request struct {
	// Model is the requested model; empty for plain services.
	Model string
	// Path is the path of the request's URL.
	Path string
	// Caller is the name of the authenticated caller, if any.
	Caller string
	Header http.Header
	// Class is the class that the caller requests, if any.
	Class string
}

// Compiled is a document prepared for classifying and routing requests. It is
// immutable.
type Compiled struct {
	Document *Document
	// Version is the offset of the document's record in the log; zero for a
	// document that isn't from the log.
	Version port.Offset

	classes      map[string]*compiledClass
	defaultClass *compiledClass
	// exact holds the rules with an exact model name by that name, and general
	// all other rules. Both are sorted by rank.
	exact    map[string][]*compiledRule
	general  []*compiledRule
	services map[string]*Service
	plain    []*Service // longest path prefix first
}

// compiledClass is a class as declared, and its non-repeatable variant for
// requests that must not run twice even if the class is repeatable.
type compiledClass struct {
	declared, nonRepeatable *Class
}

func (c *compiledClass) variant(repeatable bool) *Class {
	if repeatable {
		return c.declared
	}
	return c.nonRepeatable
}

type compiledRule struct {
	Rule
	class       *compiledClass
	rank        int
	modelPrefix string
	anyModel    bool // the rule has no condition on the model
	header      string
	value       string
}

// Compile prepares a document for classifying and routing requests. The document
// must come from Parse. The error is ErrInvalid if a rule or the default class
// names an unknown class, or if a rule has a malformed header.
func Compile(doc *Document) (*Compiled, error) {
	c := &Compiled{
		Document: doc,
		classes:  make(map[string]*compiledClass, len(doc.Classes)),
		exact:    map[string][]*compiledRule{},
		services: make(map[string]*Service, len(doc.Services)),
	}
	for i := range doc.Classes {
		declared := &doc.Classes[i]
		nonRepeatable := *declared
		nonRepeatable.Repeatable, nonRepeatable.Hedge = false, false
		c.classes[declared.Name] = &compiledClass{declared: declared, nonRepeatable: &nonRepeatable}
	}
	c.defaultClass = c.classes[doc.DefaultClass]
	if c.defaultClass == nil {
		return nil, errors.Wrapf(ErrInvalid, "default_class %q", doc.DefaultClass)
	}
	if err := c.compileRules(doc.Rules); err != nil {
		return nil, err
	}
	for i := range doc.Services {
		service := &doc.Services[i]
		c.services[service.Name] = service
		if service.Kind == port.KindPlain {
			c.plain = append(c.plain, service)
		}
	}
	slices.SortStableFunc(c.plain, func(a, b *Service) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	return c, nil
}

func (c *Compiled) compileRules(rules []Rule) error {
	sorted := make([]*compiledRule, 0, len(rules))
	for _, rule := range rules {
		class := c.classes[rule.Class]
		if class == nil {
			return errors.Wrapf(ErrInvalid, "rule for unknown class %q", rule.Class)
		}
		compiled := &compiledRule{Rule: rule, class: class, anyModel: rule.Model == ""}
		compiled.modelPrefix = strings.TrimSuffix(rule.Model, "*")
		if rule.Header != "" {
			name, value, ok := splitHeader(rule.Header)
			if !ok {
				return errors.Wrapf(ErrInvalid, "rule for header %q", rule.Header)
			}
			compiled.header, compiled.value = name, value
		}
		sorted = append(sorted, compiled)
	}
	slices.SortStableFunc(sorted, func(a, b *compiledRule) int { return b.compareSpecificity(&a.Rule) })
	for rank, rule := range sorted {
		rule.rank = rank
		if rule.exactModel() {
			c.exact[rule.Model] = append(c.exact[rule.Model], rule)
		} else {
			c.general = append(c.general, rule)
		}
	}
	return nil
}

// Classify returns the class of a request: the class of the most specific matching
// rule, or, if no rule matches, the class that the caller requests, or else the
// default class. The caller must not modify the returned class.
//
// If a rule matches, the request can still choose a class of lower or equal
// priority, or a non-repeatable class. It can neither raise the priority nor become
// repeatable if the class of the rule is non-repeatable.
func (c *Compiled) Classify(r Request) *Class {
	rule := firstMatch(c.exact[r.Model], &r)
	if other := firstMatch(c.general, &r); rule == nil || (other != nil && other.rank < rule.rank) {
		rule = other
	}
	requested := c.classes[r.Class]
	switch {
	case rule == nil && requested == nil:
		return c.defaultClass.declared
	case rule == nil:
		return requested.declared
	case requested == nil:
		return rule.class.declared
	}
	repeatable := rule.class.declared.Repeatable && requested.declared.Repeatable
	if requested.declared.Priority > rule.class.declared.Priority {
		return rule.class.variant(repeatable)
	}
	return requested.variant(repeatable)
}

func firstMatch(rules []*compiledRule, r *Request) *compiledRule {
	for _, rule := range rules {
		if rule.matches(r) {
			return rule
		}
	}
	return nil
}

func (r *compiledRule) matches(q *Request) bool {
	if !r.anyModel && !r.matchesModel(q.Model) {
		return false
	}
	if r.Caller != "" && r.Caller != q.Caller {
		return false
	}
	if r.PathPrefix != "" && !underPath(q.Path, r.PathPrefix) {
		return false
	}
	return r.header == "" || slices.Contains(q.Header[r.header], r.value)
}

func (r *compiledRule) matchesModel(model string) bool {
	if r.exactModel() {
		return model == r.Model
	}
	return model != "" && strings.HasPrefix(model, r.modelPrefix)
}

// Class returns the class with the name. It returns false if there is none.
func (c *Compiled) Class(name string) (*Class, bool) {
	if class, ok := c.classes[name]; ok {
		return class.declared, true
	}
	return nil, false
}

// PlainService returns the plain service with the longest path prefix that matches
// the path. It returns false if no prefix matches.
func (c *Compiled) PlainService(path string) (*Service, bool) {
	for _, service := range c.plain {
		if underPath(path, service.PathPrefix) {
			return service, true
		}
	}
	return nil, false
}

// Service returns the service with the name. It returns false if there is none.
func (c *Compiled) Service(name string) (*Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// ZoneWeights returns the zones with their weights, in the order of the document.
func (d *Document) ZoneWeights() []share.Weight {
	weights := make([]share.Weight, len(d.Zones))
	for i, zone := range d.Zones {
		weights[i] = share.Weight{Zone: zone.Name, Weight: zone.Weight}
	}
	return weights
}

func (r *Rule) conditions() int {
	n := 0
	for _, condition := range []string{r.Model, r.PathPrefix, r.Caller, r.Header} {
		if condition != "" {
			n++
		}
	}
	return n
}

func (r *Rule) exactModel() bool {
	return r.Model != "" && !strings.HasSuffix(r.Model, "*")
}

// compareSpecificity returns a positive number if r is more specific than other,
// a negative number if it is less specific, and zero otherwise.
func (r *Rule) compareSpecificity(other *Rule) int {
	if d := r.conditions() - other.conditions(); d != 0 {
		return d
	}
	if r.exactModel() != other.exactModel() {
		if r.exactModel() {
			return 1
		}
		return -1
	}
	if d := len(r.Model) - len(other.Model); d != 0 && !r.exactModel() {
		return d
	}
	return len(r.PathPrefix) - len(other.PathPrefix)
}

// underPath reports whether path equals prefix or lies below it. It compares whole
// path elements: "/web/a" lies below "/web", but "/website" doesn't.
func underPath(path, prefix string) bool {
	prefix = trimTrailingSlash(prefix)
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || prefix == "/" || path[len(prefix)] == '/'
}

func trimTrailingSlash(prefix string) string {
	if len(prefix) > 1 {
		return strings.TrimSuffix(prefix, "/")
	}
	return prefix
}

// splitHeader splits "Name: value" and returns the name in canonical form. ok is
// false if the text is malformed.
func splitHeader(text string) (name, value string, ok bool) {
	name, value, ok = strings.Cut(text, ":")
	value = strings.TrimSpace(value)
	if !ok || value == "" || !isToken(name) {
		return "", "", false
	}
	return textproto.CanonicalMIMEHeaderKey(name), value, true
}

// isToken reports whether name is a valid header field name.
func isToken(name string) bool {
	if name == "" {
		return false
	}
	for i := range len(name) {
		c := name[i]
		letter := (c|0x20) >= 'a' && (c|0x20) <= 'z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}
