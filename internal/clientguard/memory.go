package clientguard

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/bytebudget"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
)

const (
	// returnInterval is how often it is checked whether memory can be given back.
	returnInterval = time.Second
	// returnFrom is the part of the budget from which memory is given back once the use has fallen to
	// returnBelow of its maximum. Without that, the collector runs only when as much is used again, or
	// after two minutes.
	returnFrom  = 1.0 / 8
	returnBelow = 1.0 / 2
)

// ReturnMemory gives memory back to the system after clients have used much of the budget, until ctx
// ends.
func ReturnMemory(ctx context.Context, b *bytebudget.Budget) {
	most := int64(0)
	for pause.For(ctx, returnInterval) {
		used := b.InUse()
		most = max(most, used, b.TakePeak())
		if float64(most) >= returnFrom*float64(b.Limit()) && float64(used) <= returnBelow*float64(most) {
			debug.FreeOSMemory()
			most = used
		}
	}
}
