package placer

import (
	"context"
	"math/rand/v2"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
)

// errNoDocument means that another instance has no manifest.
var errNoDocument = errors.New("the instance has no manifest")

// FetchManifest returns the manifest that the holder has in force, or another instance if the holder
// doesn't respond, for an instance that the store rejects.
func (p *Placer) FetchManifest(ctx context.Context) ([]byte, error) {
	var addresses []string
	if holder, _, held := p.elector.holder(); held && holder.Address != p.address {
		addresses = append(addresses, holder.Address)
	}
	if others := p.OtherInstances(); len(others) > 0 {
		addresses = append(addresses, others[rand.IntN(len(others))])
	}
	err := errNoHolder
	for _, address := range addresses {
		var reply *placerpb.ManifestDocument
		if reply, err = p.readManifest(ctx, address); err == nil {
			return reply.Document, nil
		}
	}
	return nil, err
}

func (p *Placer) readManifest(ctx context.Context, address string) (*placerpb.ManifestDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	reply, err := p.client(address).ReadManifest(ctx, &placerpb.ManifestQuery{})
	if err != nil {
		return nil, errors.Wrap(err, "fetch manifest")
	}
	if len(reply.Document) == 0 {
		return nil, errNoDocument
	}
	return reply, nil
}

// manifestTimeout limits a call for a manifest. A manifest of 100 KB takes 80 ms on the slowest link,
// which has 10 Mbit/s.
const manifestTimeout = 2 * callTimeout

// ReadManifest handles the call of another instance.
func (s *service) ReadManifest(context.Context, *placerpb.ManifestQuery) (*placerpb.ManifestDocument, error) {
	return &placerpb.ManifestDocument{Document: s.placer.mirror.Document()}, nil
}
