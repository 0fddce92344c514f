package httpstore_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpstore"
	"github.com/cyclamenhoist/cyclamenhoist/internal/standin"
	"github.com/cyclamenhoist/cyclamenhoist/internal/testnet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

func TestCatalog(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(*standin.StoreFaults)
		want  error
	}{
		"fine":        {func(*standin.StoreFaults) {}, nil},
		"slow":        {func(f *standin.StoreFaults) { f.Delay = jsonc.Duration(20 * time.Millisecond) }, nil},
		"down":        {func(f *standin.StoreFaults) { f.Down = true }, port.ErrRefused},
		"status 429":  {func(f *standin.StoreFaults) { f.Status = 429 }, port.ErrRefused},
		"answer lost": {func(f *standin.StoreFaults) { f.LoseAnswers = 1 }, port.ErrUnknownOutcome},
		"malformed":   {func(f *standin.StoreFaults) { f.Malformed = 1 }, port.ErrUnknownOutcome},
		"huge":        {func(f *standin.StoreFaults) { f.Huge = 1 }, port.ErrUnknownOutcome},
		"hangs":       {func(f *standin.StoreFaults) { f.Hang = true }, port.ErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := standin.Start(standin.Fast())
			require.NoError(t, err)
			defer p.Close()
			p.SetFaults(func(f *standin.Faults) { c.fault(&f.Store) })
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			models, err := httpstore.New(p.StoreURL, nil).Catalog(ctx)
			if c.want != nil {
				require.ErrorIs(t, err, c.want)
				require.Nil(t, models)
				return
			}
			require.NoError(t, err)
			require.Contains(t, models, port.ModelInfo{
				ID: "entry-assistant-thai", Base: "entry-assistant", Bytes: 1 << 28, Service: "engines",
			})
		})
	}
}

func TestConnectionRefused(t *testing.T) {
	address, release, err := testnet.RefusingAddress()
	require.NoError(t, err)
	defer release()
	_, err = httpstore.New("http://"+address, nil).Catalog(context.Background())
	require.ErrorIs(t, err, port.ErrNotSent)
}
