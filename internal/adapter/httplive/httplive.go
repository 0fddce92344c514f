// Package httplive reads and updates the platform's live list over HTTP:
//
//	GET /v1/live                 -> port.LiveSet
//	PUT /v1/live/instances/{id}  {"instance":{...},"ttl_ms":N}
package httplive

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpcall"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Limits of one call. A list can have 7,700 servers and 320 instances at about 150
// bytes each.
const (
	maxListBytes     = 16 << 20
	maxAnnounceBytes = 64 << 10
	callTimeout      = 5 * time.Second
)

// AnnounceTTL is the time after which an announced instance is removed from the
// list unless it is announced again.
const AnnounceTTL = 10 * time.Second

// ErrBadList means that the list has a duplicate entry, an entry without an ID, or a
// server without an address.
var ErrBadList = errors.New("invalid live list")

// List is a port.LiveList over HTTP. Its calls time out after callTimeout.
type List struct {
	base   string
	client *http.Client
}

var _ port.LiveList = (*List)(nil)

// New returns the live list at baseURL. If c is nil, it uses a client of its own.
func New(baseURL string, c *http.Client) *List {
	if c == nil {
		c = httpcall.NewClient()
	}
	return &List{base: strings.TrimRight(baseURL, "/"), client: c}
}

// Announcement is the request body by which an instance puts itself on the list.
type Announcement struct {
	Instance port.Instance `json:"instance"`
	TTLMS    int64         `json:"ttl_ms"`
}

// List implements port.LiveList.
func (l *List) List(ctx context.Context) (port.LiveSet, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var set port.LiveSet
	err := httpcall.JSON(ctx, l.client, http.MethodGet, l.base+"/v1/live", nil, &set, maxListBytes)
	if err != nil {
		return port.LiveSet{}, errors.Wrap(err, "live list")
	}
	if err := validate(set); err != nil {
		return port.LiveSet{}, errors.Wrap(err, "live list")
	}
	return set, nil
}

// Announce implements port.LiveList.
func (l *List) Announce(ctx context.Context, i port.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body := Announcement{Instance: i, TTLMS: AnnounceTTL.Milliseconds()}
	err := httpcall.JSON(ctx, l.client, http.MethodPut,
		l.base+"/v1/live/instances/"+url.PathEscape(string(i.ID)), body, nil, maxAnnounceBytes)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	return nil
}

func validate(set port.LiveSet) error {
	instances := make(map[port.InstanceID]bool, len(set.Instances))
	for _, i := range set.Instances {
		if i.ID == "" || instances[i.ID] {
			return fmt.Errorf("%w: %w: instance %q", port.ErrUnknownOutcome, ErrBadList, i.ID)
		}
		instances[i.ID] = true
	}
	servers := make(map[port.ServerID]bool, len(set.Servers))
	for _, s := range set.Servers {
		if s.ID == "" || s.Address == "" || servers[s.ID] {
			return fmt.Errorf("%w: %w: server %q", port.ErrUnknownOutcome, ErrBadList, s.ID)
		}
		servers[s.ID] = true
	}
	return nil
}
